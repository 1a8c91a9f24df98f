//! The program under test, clients, and stand-ins for its backends, counter and discovery agent. They synchronise by messages.
#![allow(dead_code, unused_imports)]

pub mod admin;
pub mod appliance;
mod held_backend;
mod site;
pub mod soak;

use fault_harness::ports::free_address;
pub use fault_harness::test_directory::TestDirectory;
pub use fault_harness::wire::{backend_reply, read_resp_command, resp_command};
pub use held_backend::*;
pub use site::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Timeout of each single wait. A test whose wait takes longer fails.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for the next message. Fails the test after [`TIMEOUT`].
pub fn receive<T>(receiver: &Receiver<T>) -> T {
    receiver.recv_timeout(TIMEOUT).expect("no message arrived within the timeout")
}

/// A running program, which is killed when this is dropped.
pub struct Program {
    child: Child,
    lines: Receiver<String>,
}

impl Program {
    pub fn start(arguments: &[&str], variables: &[(&str, &str)]) -> Self {
        Self::spawn(Command::new(env!("CARGO_BIN_EXE_snowfield")).args(arguments), variables)
    }

    /// Starts the program with a limit on its file descriptors.
    pub fn start_with_descriptor_limit(descriptors: u32, variables: &[(&str, &str)]) -> Self {
        let shell = format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_snowfield"));
        Self::spawn(Command::new("sh").args(["-c", &shell]), variables)
    }

    fn spawn(command: &mut Command, variables: &[(&str, &str)]) -> Self {
        let mut child = command
            .envs(variables.iter().copied())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (sender, lines) = channel();
        let output = BufReader::new(child.stdout.take().expect("standard output is piped"));
        std::thread::spawn(move || {
            output.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok())
        });
        Self { child, lines }
    }

    /// Waits for the next log line that contains this text.
    pub fn wait_for_line(&self, text: &str) -> String {
        self.wait_for_line_with_any(&[text])
    }

    /// Waits for the next log line that contains one of these texts.
    pub fn wait_for_line_with_any(&self, texts: &[&str]) -> String {
        loop {
            let line = receive(&self.lines);
            if texts.iter().any(|text| line.contains(text)) {
                return line;
            }
        }
    }

    /// Waits for the next log line that contains this text, and returns the part of the line after it.
    pub fn wait_for_log(&self, text: &str) -> String {
        self.wait_for_line(text).split_once(text).map_or(String::new(), |(_, rest)| rest.to_owned())
    }

    /// Waits for the next log event with this message, and returns the value of one of its fields.
    pub fn wait_for_log_field(&self, message: &str, field: &str) -> String {
        let fields = self.wait_for_log(message);
        let value = fields.split(' ').find_map(|part| part.strip_prefix(field)?.strip_prefix('='));
        value.unwrap_or_else(|| panic!("no field {field} in {fields:?}")).to_owned()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Suspends the program, and waits until all its threads are suspended: the signal takes effect after `kill` has returned.
    pub fn suspend(&self) {
        self.signal("-STOP");
        while !self.is_suspended() {
            std::thread::yield_now();
        }
    }

    /// Whether all threads have the state T in `/proc`.
    fn is_suspended(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("the program runs");
        threads.flatten().all(|thread| {
            let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            // The state follows the name of the thread, which is in parentheses and may contain any character.
            stat.rsplit_once(") ").is_none_or(|(_, rest)| rest.starts_with('T'))
        })
    }

    /// Resident memory in kB.
    pub fn memory_kb(&self) -> u64 {
        self.status_kb("VmRSS:")
    }

    /// Maximum of the resident memory since the start, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        self.status_kb("VmHWM:")
    }

    /// A size in `/proc`, in kB.
    fn status_kb(&self, name: &str) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("the program runs");
        let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("the status has this line");
        line.trim().trim_end_matches("kB").trim().parse().expect("a size is a number")
    }

    /// Number of the program's established connections to a loopback address, from `/proc`.
    pub fn open_connections_to(&self, address: SocketAddr) -> usize {
        let sockets = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("the program runs");
        let links = sockets.flatten().filter_map(|fd| std::fs::read_link(fd.path()).ok());
        let names: Vec<String> = links.map(|link| link.to_string_lossy().into_owned()).collect();
        let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable");
        let remote = format!("0100007F:{:04X}", address.port());
        let open = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let open =
            open.filter(|fields| fields.get(2) == Some(&remote.as_str()) && fields.get(3) == Some(&"01"));
        open.filter(|fields| fields.get(9).is_some_and(|inode| names.contains(&format!("socket:[{inode}]"))))
            .count()
    }

    /// Processor time that the program has used, in clock ticks of the system (10 ms).
    pub fn processor_ticks(&self) -> u64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("the program runs");
        // After the name, which is in parentheses, user and system time are the 12th and 13th fields.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        fields[11..13].iter().map(|f| f.parse::<u64>().expect("processor time is a number")).sum()
    }

    /// Waits for the program to exit, and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("the program was started").code()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs the program until it exits. Returns whether its exit code was 0, and its standard output followed by its standard error.
pub fn run(arguments: &[&str], variables: &[(&str, &str)]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_snowfield"))
        .args(arguments)
        .envs(variables.iter().copied())
        .output()
        .expect("the program runs");
    let text =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    (output.status.success(), text)
}

/// Listens on a free loopback port and calls `serve` for each connection in a thread of its own.
pub fn start_listener(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a valid socket address");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// A loopback address without a listener, which no other test gets.
pub fn unused_address() -> SocketAddr {
    free_address().expect("a free port")
}

/// Reads a line without its line end. `None` at the end of the input or after an error.
fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    (reader.read_line(&mut text).ok()? > 0).then(|| text.trim_end().to_owned())
}

/// The reaction of a backend to a request.
pub enum Behaviour {
    /// The backend sends this reply.
    Reply(Vec<u8>),
    /// The backend waits for a message, then sends this reply.
    ReplyAfter(Receiver<()>, Vec<u8>),
    /// The backend closes the connection without a reply.
    Close,
    /// The backend sends no reply, and waits until the connection is closed.
    NoReply,
}

/// An event at a backend.
#[derive(Debug)]
pub enum BackendEvent<T> {
    /// A request has arrived completely.
    Request(T),
    /// A connection without a request in flight was closed.
    ConnectionClosed,
    /// A connection was closed before the reply to its request.
    RequestAbandoned,
}

/// Starts a stand-in for a backend: it reads requests with `read`, reacts to each by the result of `react`, and reports its
/// events.
pub fn start_backend<T: Clone + Send + 'static>(
    read: fn(&mut BufReader<TcpStream>) -> Option<T>,
    react: impl Fn(&T) -> Behaviour + Send + Sync + 'static,
) -> (SocketAddr, Receiver<BackendEvent<T>>) {
    let (sender, events) = channel();
    let sender = Mutex::new(sender);
    let address = start_listener(move |stream| {
        let sender = sender.lock().expect("the lock is not poisoned").clone();
        let mut replies = stream.try_clone().expect("the socket can be cloned");
        let mut requests = BufReader::new(stream);
        while let Some(request) = read(&mut requests) {
            let _ = sender.send(BackendEvent::Request(request.clone()));
            match react(&request) {
                Behaviour::Reply(bytes) => drop(replies.write_all(&bytes)),
                Behaviour::ReplyAfter(released, bytes) => {
                    let _ = released.recv();
                    let _ = replies.write_all(&bytes);
                }
                Behaviour::Close => return,
                Behaviour::NoReply => {
                    let _ = read(&mut requests);
                    let _ = sender.send(BackendEvent::RequestAbandoned);
                    return;
                }
            }
        }
        let _ = sender.send(BackendEvent::ConnectionClosed);
    });
    (address, events)
}

/// Waits for the next request at a backend.
pub fn next_request<T>(events: &Receiver<BackendEvent<T>>) -> T {
    loop {
        if let BackendEvent::Request(request) = receive(events) {
            return request;
        }
    }
}

/// Takes all requests that have arrived at a backend since the last call, without waiting.
pub fn all_requests<T>(events: &Receiver<BackendEvent<T>>) -> Vec<T> {
    events
        .try_iter()
        .filter_map(|event| if let BackendEvent::Request(request) = event { Some(request) } else { None })
        .collect()
}

/// The name of the count that the gatekeepers use as a common clock. It belongs to no tenant.
const FLEET_CLOCK: &str = "666c6565745f7473";

/// Starts a stand-in for the quota counter. Each count starts at `first`. The receiver gets the name and the added amount of each
/// call for a tenant's count.
pub fn start_counter(first: f64) -> (SocketAddr, Receiver<(String, f64)>) {
    let (sender, added) = channel();
    let shared = Mutex::new((sender, HashMap::<String, f64>::new()));
    let address = start_listener(move |stream| {
        let mut replies = stream.try_clone().expect("the socket can be cloned");
        let mut calls = BufReader::new(stream);
        while let Some(call) = read_resp_command(&mut calls) {
            let [verb, name, amount, _] = &call[..] else { return };
            assert_eq!(verb, "TALLY");
            let amount: f64 = amount.parse().expect("a decimal number");
            let total = {
                let mut shared = shared.lock().expect("the lock is not poisoned");
                let total = shared.1.entry(name.clone()).or_insert(first);
                *total += amount;
                let total = total.to_string();
                if name != FLEET_CLOCK {
                    let _ = shared.0.send((name.clone(), amount));
                }
                total
            };
            if replies.write_all(format!("${}\r\n{total}\r\n", total.len()).as_bytes()).is_err() {
                return;
            }
        }
    });
    (address, added)
}

/// An HTTP message: its first line, its header fields with names in lower case, and its body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first header field with this name, given in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status code of an HTTP response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }

    /// The path and query of an HTTP request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).expect("a request line")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one HTTP message with a Content-Length or without a body. `None` if the input ends before the message.
pub fn read_message(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let head = read_message_head(from)?;
    read_body(from, head)
}

/// Reads the first line and the header fields of an HTTP message, up to the empty line.
pub fn read_message_head(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message { first_line: read_line(from)?, ..Message::default() };
    loop {
        let text = read_line(from)?;
        let Some((name, value)) = text.split_once(':') else { return Some(message) };
        message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(from: &mut BufReader<TcpStream>, mut message: Message) -> Option<Message> {
    let length = message.field("content-length").map_or(0, |l| l.parse().expect("a length"));
    message.body = vec![0; length];
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// A client that sends requests and reads replies on one connection.
pub struct Client {
    pub writer: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let writer = TcpStream::connect(address).expect("the program accepts connections");
        writer.set_read_timeout(Some(TIMEOUT)).expect("the timeout can be set");
        let reader = BufReader::new(writer.try_clone().expect("the socket can be cloned"));
        Self { writer, reader }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.writer.write_all(bytes).expect("the program reads the bytes");
    }

    /// Reads one line of a RESP2 reply; for a bulk string, its value.
    pub fn read_reply(&mut self) -> String {
        let first = read_line(&mut self.reader).expect("a reply arrives");
        match first.strip_prefix('$') {
            Some(_) => read_line(&mut self.reader).expect("the value of a bulk string arrives"),
            None => first,
        }
    }

    /// Sends an HTTP request and reads its response.
    pub fn request(&mut self, request: &str) -> Message {
        self.send(request.as_bytes());
        self.read_response()
    }

    pub fn read_response(&mut self) -> Message {
        read_message(&mut self.reader).expect("a response arrives")
    }

    /// Waits for the next byte. Returns true if there is none because the connection was closed or reset.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 1]), Ok(0) | Err(_))
    }
}

/// A stand-in for the discovery agent: it reports each watch, and sends the lines that a test passes to it as HTTP chunks.
pub struct Agent {
    pub address: SocketAddr,
    /// For each watch, its request line and the sender of its lines.
    pub watches: Receiver<(String, Sender<String>)>,
}

pub fn start_agent() -> Agent {
    let (sender, watches) = channel();
    let sender = Mutex::new(sender);
    let address = start_listener(move |stream| {
        let mut writer = stream.try_clone().expect("the socket can be cloned");
        let mut reader = BufReader::new(stream);
        let Some(request) = read_message_head(&mut reader) else { return };
        let (line_sender, lines) = channel::<String>();
        if sender.lock().expect("the lock is not poisoned").send((request.first_line, line_sender)).is_err() {
            return;
        }
        let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        // The loop ends when the test drops the sender.
        for line in lines {
            if writer.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).is_err() {
                return;
            }
        }
        let _ = writer.shutdown(std::net::Shutdown::Both);
    });
    Agent { address, watches }
}
