//! The admin listener: reads operators' commands and sends the replies. It runs on separate threads, so that it answers within a
//! second also while the worker is busy.

use crate::endpoint_ids::EjectionChange;
use link::lock_or_abort;
use operator::{Command, CommandError, MAX_LINE_BYTES, Metrics, reply};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Limit on connected clients, each with a descriptor and a thread. At the limit a new client evicts the oldest one that has sent
/// no complete line.
pub const MAX_CLIENTS: usize = 12;
/// Timeout for receiving a client's line. Some operators' tools send a complete command up to 4 s after they connect.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for sending a reply. A reply fits into the socket's buffer unless the client does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which input after the line is read and discarded. An immediate close with unread input would reset the connection,
/// and the reply could be lost.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause between a failed `accept` and the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Stack size of each thread in bytes.
const STACK_BYTES: usize = 64 * 1024;
/// Buffer size for reads in bytes.
const READ_BUFFER_BYTES: usize = 256;

/// Why a command failed. The text is sent to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminError {
    /// The process does not accept clients yet.
    #[error("starting")]
    Starting,
    /// The process is shutting down.
    #[error("ending")]
    Ending,
    /// The command names the id of a backend that no endpoint list contains and that is not ejected.
    #[error("no such loan server")]
    UnknownBackend,
}

/// Why the line with a client's command could not be read. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum LineError {
    #[error("no line came")]
    Missing,
    #[error("the line did not end")]
    Incomplete,
    #[error(transparent)]
    Invalid(#[from] CommandError),
}

/// Executes the commands of operators.
pub trait AdminHandler: Send + Sync + 'static {
    /// Checks whether this process accepts clients.
    ///
    /// # Errors
    ///
    /// [`AdminError::Starting`] or [`AdminError::Ending`].
    fn check_ready(&self) -> Result<(), AdminError>;
    /// Collects the metrics of this process for the reply to `telemetry`.
    fn metrics(&self) -> Metrics;
    /// Ejects or restores a backend. Once a call that ejects has returned, no new attempt is sent to the backend.
    ///
    /// # Errors
    ///
    /// [`AdminError::UnknownBackend`].
    fn change_ejection(&self, id: &str, change: EjectionChange) -> Result<(), AdminError>;
}

/// A client that has sent no complete line yet.
struct WaitingClient {
    number: u64,
    stream: Arc<TcpStream>,
}

/// Clients that have sent no complete line yet, oldest first.
#[derive(Clone, Default)]
struct WaitingClients(Arc<Mutex<Vec<WaitingClient>>>);

impl WaitingClients {
    fn push(&self, number: u64, stream: Arc<TcpStream>) {
        lock_or_abort(&self.0).push(WaitingClient { number, stream });
    }

    fn remove(&self, number: u64) {
        lock_or_abort(&self.0).retain(|client| client.number != number);
    }

    /// Disconnects the oldest client. Its thread then fails to read the line and ends.
    fn evict_oldest(&self) {
        let mut clients = lock_or_abort(&self.0);
        if !clients.is_empty() {
            // `shutdown` fails if the client has disconnected already.
            let _ = clients.remove(0).stream.shutdown(Shutdown::Both);
        }
    }
}

/// Number of connected clients.
#[derive(Clone, Default)]
struct ClientCounter(Arc<AtomicUsize>);

/// Includes one client in the count of connected clients until dropped.
struct CountedClient(ClientCounter);

impl ClientCounter {
    fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    fn add(&self) -> CountedClient {
        self.0.fetch_add(1, Ordering::AcqRel);
        CountedClient(self.clone())
    }
}

impl Drop for CountedClient {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A running admin listener. Its threads run until the process ends.
pub struct AdminListener {
    /// The bound address. The system assigns its port if the configured port is 0.
    pub address: SocketAddr,
    clients: ClientCounter,
}

impl AdminListener {
    /// Listens on this address and serves clients until the process ends.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on, or no thread can be started.
    pub fn start(address: SocketAddr, handler: Arc<impl AdminHandler>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let clients = ClientCounter::default();
        let admin_listener = Self { address: listener.local_addr()?, clients: clients.clone() };
        let thread = thread::Builder::new().name("operators".into()).stack_size(STACK_BYTES);
        thread.spawn(move || accept_clients(&listener, &handler, &clients))?;
        Ok(admin_listener)
    }

    /// Number of connected clients, each of which uses a file descriptor.
    pub fn client_count(&self) -> usize {
        self.clients.count()
    }
}

fn accept_clients(listener: &TcpListener, handler: &Arc<impl AdminHandler>, clients: &ClientCounter) {
    let waiting = WaitingClients::default();
    for number in 0.. {
        let client = Arc::new(accept(listener));
        if clients.count() >= MAX_CLIENTS {
            waiting.evict_oldest();
        }
        waiting.push(number, client.clone());
        let counted = clients.add();
        let (handler, still_waiting) = (handler.clone(), waiting.clone());
        let serve = move || {
            let line = read_line(&client);
            still_waiting.remove(number);
            // Sending fails if the client has disconnected, which then needs no reply.
            let _ = send_reply(&client, &execute(&*handler, line));
            drop(counted);
        };
        if thread::Builder::new().stack_size(STACK_BYTES).spawn(serve).is_err() {
            waiting.remove(number);
        }
    }
}

/// Accepts the next client. Errors are transient: the process is out of descriptors, or the client has disconnected already.
fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept() {
            Ok((client, _)) => return client,
            Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
        }
    }
}

/// Executes the command of a line, and returns the reply.
fn execute(handler: &impl AdminHandler, line: Result<Vec<u8>, LineError>) -> String {
    let command = line.and_then(|line| Ok(Command::parse(&line)?));
    match command {
        Ok(Command::Metrics) => handler.metrics().to_text(),
        Ok(Command::Ready) => reply(handler.check_ready()),
        Ok(Command::Eject(id)) => reply(handler.change_ejection(&id, EjectionChange::Eject)),
        Ok(Command::Restore(id)) => reply(handler.change_ejection(&id, EjectionChange::Restore)),
        Err(error) => reply(Err(error)),
    }
}

/// Reads the first line that a client sends, without its end.
fn read_line(mut client: &TcpStream) -> Result<Vec<u8>, LineError> {
    let started = Instant::now();
    let mut line = Vec::new();
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let time_left = LINE_TIMEOUT.saturating_sub(started.elapsed());
        if time_left.is_zero() || client.set_read_timeout(Some(time_left)).is_err() {
            return Err(LineError::Missing);
        }
        match client.read(&mut buffer) {
            Ok(0) => return Err(LineError::Incomplete),
            Ok(count) => line.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err(LineError::Missing),
        }
        if let Some(end) = line.iter().position(|&byte| byte == b'\n') {
            line.truncate(end);
            return Ok(line);
        }
        if line.len() > MAX_LINE_BYTES {
            return Err(CommandError::LineTooLong.into());
        }
    }
}

/// Sends the reply and closes the sending side, then discards input for up to [`LINGER_TIMEOUT`].
fn send_reply(mut client: &TcpStream, reply: &str) -> std::io::Result<()> {
    client.set_write_timeout(Some(WRITE_TIMEOUT))?;
    client.write_all(reply.as_bytes())?;
    client.shutdown(Shutdown::Write)?;
    let started = Instant::now();
    let mut discarded = [0; READ_BUFFER_BYTES];
    while let time_left @ 1.. = LINGER_TIMEOUT.saturating_sub(started.elapsed()).as_micros() {
        client.set_read_timeout(Some(Duration::from_micros(time_left as u64)))?;
        if client.read(&mut discarded)? == 0 {
            break;
        }
    }
    Ok(())
}
