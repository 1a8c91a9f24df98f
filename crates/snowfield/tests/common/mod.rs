//! The program under test, clients, and stand-ins for its backends, counter and discovery agent. They synchronise by messages.
#![allow(dead_code, unused_imports)]

pub mod admin;
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

/// Time-out of all waits: a test that waits this long fails.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for the next message. Fails the test after [`TIMEOUT`].
pub fn next<T>(from: &Receiver<T>) -> T {
    from.recv_timeout(TIMEOUT).expect("it came in time")
}

/// A running program, which is killed when this is dropped.
pub struct Program {
    child: Child,
    lines: Receiver<String>,
}

impl Program {
    pub fn start(arguments: &[&str], variables: &[(&str, &str)]) -> Self {
        Self::run(Command::new(env!("CARGO_BIN_EXE_snowfield")).args(arguments), variables)
    }

    /// Starts the program with a limit on its descriptors.
    pub fn start_with(descriptors: u32, variables: &[(&str, &str)]) -> Self {
        let shell = format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_snowfield"));
        Self::run(Command::new("sh").args(["-c", &shell]), variables)
    }

    fn run(command: &mut Command, variables: &[(&str, &str)]) -> Self {
        let mut child = command
            .envs(variables.iter().copied())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (sender, lines) = channel();
        let out = BufReader::new(child.stdout.take().expect("a pipe"));
        std::thread::spawn(move || out.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok()));
        Self { child, lines }
    }

    /// Waits for the next log line that contains this text.
    pub fn line(&self, text: &str) -> String {
        self.line_of(&[text])
    }

    /// Waits for the next log line that contains one of these texts.
    pub fn line_of(&self, texts: &[&str]) -> String {
        loop {
            let line = next(&self.lines);
            if texts.iter().any(|text| line.contains(text)) {
                return line;
            }
        }
    }

    /// Waits for the next log line that contains this text, and returns the rest of the line behind it.
    pub fn logged(&self, text: &str) -> String {
        self.line(text).split_once(text).map_or(String::new(), |(_, rest)| rest.to_owned())
    }

    /// Waits for the next log event with this message, and returns the value of one of its fields.
    pub fn logged_field(&self, message: &str, field: &str) -> String {
        let fields = self.logged(message);
        let value = fields.split(' ').find_map(|part| part.strip_prefix(field)?.strip_prefix('='));
        value.unwrap_or_else(|| panic!("no field {field} in {fields:?}")).to_owned()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(done.expect("kill runs").success());
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
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("it runs");
        threads.flatten().all(|thread| {
            let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            // The name of the thread, in parentheses, may contain anything.
            stat.rsplit_once(") ").is_none_or(|(_, rest)| rest.starts_with('T'))
        })
    }

    /// Resident memory in kB.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a line for it");
        line.trim().trim_end_matches("kB").trim().parse().expect("a number")
    }

    /// Number of the program's established connections to an address, by the system's tables.
    pub fn open_connections_to(&self, to: SocketAddr) -> usize {
        let sockets = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("it runs");
        let links = sockets.flatten().filter_map(|fd| std::fs::read_link(fd.path()).ok());
        let names: Vec<String> = links.map(|link| link.to_string_lossy().into_owned()).collect();
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
        let remote = format!("0100007F:{:04X}", to.port());
        let open = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let open =
            open.filter(|fields| fields.get(2) == Some(&remote.as_str()) && fields.get(3) == Some(&"01"));
        open.filter(|fields| fields.get(9).is_some_and(|inode| names.contains(&format!("socket:[{inode}]"))))
            .count()
    }

    /// Processor time that the program has used, in clock ticks of the system (10 ms).
    pub fn processor_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("it runs");
        // Behind the name, which is in parentheses: user and system time are the 12th and 13th fields.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        fields[11..13].iter().map(|f| f.parse::<u64>().expect("a number")).sum()
    }

    /// Waits for the program to exit, and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("it was started").code()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs the program until it exits. Returns whether it succeeded, and its whole output.
pub fn run(arguments: &[&str], variables: &[(&str, &str)]) -> (bool, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_snowfield"))
        .args(arguments)
        .envs(variables.iter().copied())
        .output()
        .expect("the program runs");
    let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    (out.status.success(), text)
}

/// Listens on a free loopback port and serves each connection in a thread.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// An address without a listener, which no other test gets.
pub fn unused_address() -> SocketAddr {
    free_address().expect("a free port")
}

fn line(from: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    (from.read_line(&mut text).ok()? > 0).then(|| text.trim_end().to_owned())
}

/// The reaction of a backend to a request.
pub enum Behaviour {
    /// Sends this reply.
    Reply(Vec<u8>),
    /// Waits for a message, then sends this reply.
    ReplyAfter(Receiver<()>, Vec<u8>),
    /// Closes the connection.
    Close,
    /// Sends no reply, and waits until the connection is closed.
    NoReply,
}

/// An event at a backend.
#[derive(Debug)]
pub enum BackendEvent<T> {
    /// A request has arrived.
    Request(T),
    /// A connection without a request in flight was closed.
    ConnectionClosed,
    /// A connection was closed before the reply to its request.
    RequestAbandoned,
}

/// A stand-in for a backend: reads requests with `read`, reacts as `act` says, and reports its events.
pub fn backend<T: Clone + Send + 'static>(
    read: fn(&mut BufReader<TcpStream>) -> Option<T>,
    act: impl Fn(&T) -> Behaviour + Send + Sync + 'static,
) -> (SocketAddr, Receiver<BackendEvent<T>>) {
    let (sender, events) = channel();
    let sender = Mutex::new(sender);
    let address = listen(move |stream| {
        let sender = sender.lock().expect("no stand-in panics").clone();
        let mut answers = stream.try_clone().expect("a second handle");
        let mut requests = BufReader::new(stream);
        while let Some(request) = read(&mut requests) {
            let _ = sender.send(BackendEvent::Request(request.clone()));
            match act(&request) {
                Behaviour::Reply(bytes) => drop(answers.write_all(&bytes)),
                Behaviour::ReplyAfter(released, bytes) => {
                    let _ = released.recv();
                    let _ = answers.write_all(&bytes);
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
        if let BackendEvent::Request(request) = next(events) {
            return request;
        }
    }
}

/// All further requests that have arrived at a backend so far.
pub fn all_requests<T>(events: &Receiver<BackendEvent<T>>) -> Vec<T> {
    events
        .try_iter()
        .filter_map(|s| if let BackendEvent::Request(request) = s { Some(request) } else { None })
        .collect()
}

/// The name of the count with the fleet's clock, which belongs to no tenant.
const FLEET_CLOCK: &str = "666c6565745f7473";

/// A stand-in for the counter. Each count starts at `first`. The receiver gets each amount that is added to a tenant's count.
pub fn counter(first: f64) -> (SocketAddr, Receiver<(String, f64)>) {
    let (sender, added) = channel();
    let shared = Mutex::new((sender, HashMap::<String, f64>::new()));
    let address = listen(move |stream| {
        let mut answers = stream.try_clone().expect("a second handle");
        let mut calls = BufReader::new(stream);
        while let Some(call) = read_resp_command(&mut calls) {
            let [verb, name, amount, _] = &call[..] else { return };
            assert_eq!(verb, "TALLY");
            let amount: f64 = amount.parse().expect("a decimal number");
            let total = {
                let mut shared = shared.lock().expect("no stand-in panics");
                let total = shared.1.entry(name.clone()).or_insert(first);
                *total += amount;
                let total = total.to_string();
                if name != FLEET_CLOCK {
                    let _ = shared.0.send((name.clone(), amount));
                }
                total
            };
            if answers.write_all(format!("${}\r\n{total}\r\n", total.len()).as_bytes()).is_err() {
                return;
            }
        }
    });
    (address, added)
}

/// An HTTP message: its first line, its fields with names in lower case, and its body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).expect("a request line")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one HTTP message with a Content-Length, chunked, or without a body.
pub fn message(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let head = message_head(from)?;
    with_body(from, head)
}

pub fn message_head(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message { first: line(from)?, ..Message::default() };
    loop {
        let text = line(from)?;
        let Some((name, value)) = text.split_once(':') else { return Some(message) };
        message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn with_body(from: &mut BufReader<TcpStream>, mut message: Message) -> Option<Message> {
    let length = message.field("content-length").map_or(0, |l| l.parse().expect("a length"));
    message.body = vec![0; length];
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// A client's connection.
pub struct Client {
    pub writes: TcpStream,
    pub reads: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> Self {
        let writes = TcpStream::connect(to).expect("the program accepts");
        writes.set_read_timeout(Some(TIMEOUT)).expect("a time-out can be set");
        let reads = BufReader::new(writes.try_clone().expect("a second handle"));
        Self { writes, reads }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.writes.write_all(bytes).expect("the program takes it");
    }

    /// One line of a RESP2 answer; for a bulk string its value.
    pub fn reply(&mut self) -> String {
        let first = line(&mut self.reads).expect("an answer");
        match first.strip_prefix('$') {
            Some(_) => line(&mut self.reads).expect("a value"),
            None => first,
        }
    }

    /// Sends an HTTP request and reads its answer.
    pub fn ask(&mut self, request: &str) -> Message {
        self.send(request.as_bytes());
        self.answer()
    }

    pub fn answer(&mut self) -> Message {
        message(&mut self.reads).expect("an answer")
    }

    /// Waits for the next byte. Returns whether there is none, since the connection was closed or reset.
    pub fn ended(&mut self) -> bool {
        matches!(self.reads.read(&mut [0; 1]), Ok(0) | Err(_))
    }
}

/// A stand-in for the discovery agent: reports each watch, and sends the lines that it is given as chunks.
pub struct Agent {
    pub address: SocketAddr,
    /// For each watch its request line, and the sender of lines to it.
    pub watches: Receiver<(String, Sender<String>)>,
}

pub fn agent() -> Agent {
    let (sender, watches) = channel();
    let sender = Mutex::new(sender);
    let address = listen(move |stream| {
        let mut writes = stream.try_clone().expect("a second handle");
        let mut reads = BufReader::new(stream);
        let Some(request) = message_head(&mut reads) else { return };
        let (send, lines) = channel::<String>();
        if sender.lock().expect("no stand-in panics").send((request.first, send)).is_err() {
            return;
        }
        let _ = writes.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        // Ends with the sender.
        for line in lines {
            if writes.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).is_err() {
                return;
            }
        }
        let _ = writes.shutdown(std::net::Shutdown::Both);
    });
    Agent { address, watches }
}
