//! The admin listener: sockets and threads of its own, off the worker, so that a busy gatekeeper still answers within a second.

use link::locked;
use operator::{Command, CommandError, MAX_LINE_BYTES, Metrics, reply};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Limit on clients at one time, each with a descriptor and a thread. At the limit the one that has waited longest without a
/// complete line makes room.
pub const MAX_CLIENTS: usize = 12;
/// A client that has sent no line by then is told so and disconnected: some connect and complete no command for 4 s.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// A reply fits into the socket's buffer, unless the client does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client that sends more than its line may take to read the reply. Closed at once, the reply could be lost.
const LINGER: Duration = Duration::from_millis(200);
/// Pause after `accept` has failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Stack of a client's thread, in bytes.
const STACK_BYTES: usize = 64 * 1024;
/// Bytes of one read.
const READ_BYTES: usize = 256;

/// Why a command was not carried out. The text is sent to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminError {
    /// The process does not serve yet.
    #[error("starting")]
    Starting,
    /// The process does not serve any more.
    #[error("ending")]
    Ending,
    /// No backend with this id is listed or ejected.
    #[error("no such loan server")]
    UnknownBackend,
}

/// Why no line was read. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum LineError {
    #[error("no line came")]
    Missing,
    #[error("the line did not end")]
    Incomplete,
    #[error(transparent)]
    Invalid(#[from] CommandError),
}

/// What carries out commands.
pub trait AdminHandler: Send + Sync + 'static {
    /// Whether this process can serve.
    ///
    /// # Errors
    ///
    /// [`AdminError::Starting`] or [`AdminError::Ending`].
    fn check_ready(&self) -> Result<(), AdminError>;
    /// The metrics.
    fn metrics(&self) -> Metrics;
    /// Ejects a backend, or restores it. When this returns, nothing new is sent to one that is ejected.
    ///
    /// # Errors
    ///
    /// [`AdminError::UnknownBackend`].
    fn set_ejected(&self, id: &str, ejected: bool) -> Result<(), AdminError>;
}

/// A client that has sent no complete line yet.
struct WaitingClient {
    number: u64,
    stream: Arc<TcpStream>,
}

/// Clients that have sent no complete line yet, oldest first.
#[derive(Clone, Default)]
struct Waiting(Arc<Mutex<Vec<WaitingClient>>>);

impl Waiting {
    fn push(&self, number: u64, stream: Arc<TcpStream>) {
        locked(&self.0).push(WaitingClient { number, stream });
    }

    fn remove(&self, number: u64) {
        locked(&self.0).retain(|client| client.number != number);
    }

    /// Disconnects the oldest; its thread ends by itself.
    fn disconnect_oldest(&self) {
        let mut waiting = locked(&self.0);
        if !waiting.is_empty() {
            // Fails only where the client is gone already.
            let _ = waiting.remove(0).stream.shutdown(Shutdown::Both);
        }
    }
}

/// A running listener.
pub struct AdminListener {
    /// Where it listens.
    pub address: SocketAddr,
    /// Each client holds one reference, this listener and its thread one each.
    clients: Arc<()>,
}

impl AdminListener {
    /// Listens at this address and answers clients until the process ends.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on, or no thread can be started.
    pub fn start(address: SocketAddr, handler: Arc<impl AdminHandler>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let clients = Arc::new(());
        let started = Self { address: listener.local_addr()?, clients: clients.clone() };
        let thread = std::thread::Builder::new().name("operators".into()).stack_size(STACK_BYTES);
        thread.spawn(move || accept_clients(&listener, &handler, &clients))?;
        Ok(started)
    }

    /// How many clients are connected.
    pub fn client_count(&self) -> usize {
        Arc::strong_count(&self.clients).saturating_sub(2)
    }
}

fn accept_clients(listener: &TcpListener, handler: &Arc<impl AdminHandler>, clients: &Arc<()>) {
    let waiting = Waiting::default();
    let mut number = 0;
    loop {
        let Ok((client, _)) = listener.accept() else {
            // Out of descriptors, or the client has left again: both pass.
            std::thread::sleep(ACCEPT_PAUSE);
            continue;
        };
        // One reference is this thread's, one the listener's.
        if Arc::strong_count(clients) > MAX_CLIENTS + 1 {
            waiting.disconnect_oldest();
        }
        number += 1;
        let client = Arc::new(client);
        waiting.push(number, client.clone());
        let (handler, still_waiting, reference) = (handler.clone(), waiting.clone(), clients.clone());
        let serve = move || {
            let line = read_line(&client);
            still_waiting.remove(number);
            // Fails only where the client is gone.
            let _ = send_reply(&client, &answer(&*handler, line));
            drop(reference);
        };
        if std::thread::Builder::new().stack_size(STACK_BYTES).spawn(serve).is_err() {
            waiting.remove(number);
        }
    }
}

fn answer(handler: &impl AdminHandler, line: Result<Vec<u8>, LineError>) -> String {
    let command = line.and_then(|line| Ok(Command::parse(&line)?));
    match command {
        Ok(Command::Metrics) => handler.metrics().to_text(),
        Ok(Command::Ready) => reply(handler.check_ready()),
        Ok(Command::Eject(id)) => reply(handler.set_ejected(&id, true)),
        Ok(Command::Restore(id)) => reply(handler.set_ejected(&id, false)),
        Err(error) => reply(Err(error)),
    }
}

/// The first line that a client sends, without its end.
fn read_line(mut client: &TcpStream) -> Result<Vec<u8>, LineError> {
    let (started, mut line, mut piece) = (Instant::now(), Vec::new(), [0; READ_BYTES]);
    loop {
        let left = LINE_TIMEOUT.saturating_sub(started.elapsed());
        if left.is_zero() || client.set_read_timeout(Some(left)).is_err() {
            return Err(LineError::Missing);
        }
        match client.read(&mut piece) {
            Ok(0) => return Err(LineError::Incomplete),
            Ok(count) => line.extend_from_slice(&piece[..count]),
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

/// Sends the reply and the end of the stream. What the client still sends is read for a moment.
fn send_reply(mut client: &TcpStream, reply: &str) -> std::io::Result<()> {
    client.set_write_timeout(Some(WRITE_TIMEOUT))?;
    client.write_all(reply.as_bytes())?;
    client.shutdown(Shutdown::Write)?;
    let started = Instant::now();
    let mut rest = [0; READ_BYTES];
    while let left @ 1.. = LINGER.saturating_sub(started.elapsed()).as_micros() {
        client.set_read_timeout(Some(Duration::from_micros(left as u64)))?;
        if client.read(&mut rest)? == 0 {
            break;
        }
    }
    Ok(())
}
