//! Connections.

use crate::connect_error::ConnectError;
use crate::fairness::{MAX_BURST, TURN};
use crate::lock::locked;
use crate::socket::{Stream, Watched};
use crate::tcp_info;
use crate::timer::sleep;
use may::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{self, Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Bytes of one read at most.
const MAX_READ: usize = 16 * 1024;
/// Where all connections read into before they keep what has arrived: a connection that waits for the rest of a command holds
/// no more than it was sent. All connections are read by one worker, so nobody waits for it.
static READ_BUFFER: Mutex<[u8; MAX_READ]> = Mutex::new([0; MAX_READ]);
/// The flag among the system's events (EPOLLRDHUP) that says that the peer has ended its sending or has reset.
const PEER_CLOSED_EVENT: usize = 0x2000;
/// Bytes that are read and dropped for a client that still sends while its connection is being closed.
const MAX_DISCARDED: usize = 256 * 1024;

/// A TCP connection that one coroutine waits on and any may write to.
pub struct Connection {
    stream: Stream,
    outgoing: Mutex<Outgoing>,
    is_closed: AtomicBool,
    is_woken: AtomicBool,
    /// The peer has ended its sending, or is gone: known even if bytes from before are unread.
    is_peer_closed: AtomicBool,
    /// The last read found nothing, so only an event can bring more.
    is_exhausted: AtomicBool,
    /// The worker has polled for events since this connection was made.
    was_polled: AtomicBool,
    /// Why no more can be read: reported once by the system, and kept for the next read.
    read_error: Mutex<Option<ErrorKind>>,
    /// Called when the socket has taken all queued bytes.
    on_flushed: OnceLock<Box<dyn Fn() + Send + Sync>>,
    /// Reads in a row that did not have to wait.
    reads_in_a_row: AtomicU32,
}

/// Bytes that the socket has not taken yet.
#[derive(Debug, Default)]
struct Outgoing {
    bytes: Vec<u8>,
    /// How many of them the socket has taken.
    sent: usize,
}

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Incoming {
    /// That many bytes were read.
    Bytes(usize),
    /// The peer has ended its sending.
    End,
    /// [`Connection::wake`] was called.
    Woken,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection").field("stream", &self.stream).finish_non_exhaustive()
    }
}

impl Connection {
    /// Connects, or fails after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns the system's error, and whose it is.
    pub fn connect(to: SocketAddr, timeout: Duration) -> Result<Self, ConnectError> {
        let begun = Instant::now();
        let stream = TcpStream::connect_timeout(&to, timeout);
        let stream = stream.map_err(|error| ConnectError::new(error, begun.elapsed()))?;
        Ok(Self::from_stream(Stream::Outbound(stream)))
    }

    /// Takes over an open connection.
    ///
    /// # Errors
    ///
    /// The system cannot watch it.
    pub fn new(stream: net::TcpStream) -> io::Result<Self> {
        Watched::new(stream).map(|stream| Self::from_stream(Stream::Inbound(stream)))
    }

    fn from_stream(stream: Stream) -> Self {
        // Without it small answers wait for acknowledgements; where it fails they do, and nothing else is lost.
        let _ = stream.inner().set_nodelay(true);
        Self {
            stream,
            outgoing: Mutex::default(),
            is_closed: AtomicBool::new(false),
            is_woken: AtomicBool::new(false),
            is_peer_closed: AtomicBool::new(false),
            is_exhausted: AtomicBool::new(false),
            was_polled: AtomicBool::new(false),
            read_error: Mutex::default(),
            on_flushed: OnceLock::new(),
            reads_in_a_row: AtomicU32::new(0),
        }
    }

    /// Writes what the socket takes now and queues the rest for the coroutine that waits on this connection. Returns whether all
    /// bytes are with the system.
    ///
    /// # Errors
    ///
    /// The connection is broken or closed.
    pub fn send(&self, bytes: &[u8]) -> io::Result<bool> {
        if self.is_closed() {
            return Err(ErrorKind::NotConnected.into());
        }
        let mut outgoing = locked(&self.outgoing);
        let mut rest = bytes;
        if outgoing.bytes.is_empty() {
            while !rest.is_empty() {
                match self.stream.inner().write(rest) {
                    Ok(count) => rest = &rest[count..],
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) => return Err(e),
                }
            }
        }
        outgoing.bytes.extend_from_slice(rest);
        Ok(outgoing.bytes.is_empty())
    }

    /// Bytes that wait for the socket.
    pub fn unsent(&self) -> usize {
        let outgoing = locked(&self.outgoing);
        outgoing.bytes.len() - outgoing.sent
    }

    /// Sets what is called, by the connection's own coroutine, whenever the socket has taken all queued bytes. A second call has
    /// no effect.
    pub fn on_flushed(&self, callback: impl Fn() + Send + Sync + 'static) {
        // Already set: the first stays.
        let _ = self.on_flushed.set(Box::new(callback));
    }

    fn flush(&self) -> io::Result<()> {
        let mut outgoing = locked(&self.outgoing);
        if outgoing.bytes.is_empty() {
            return Ok(());
        }
        while outgoing.sent < outgoing.bytes.len() {
            match self.stream.inner().write(&outgoing.bytes[outgoing.sent..]) {
                Ok(count) => outgoing.sent += count,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        *outgoing = Outgoing::default();
        drop(outgoing);
        if let Some(callback) = self.on_flushed.get() {
            callback();
        }
        Ok(())
    }

    /// Waits for bytes and appends all that have arrived, at most `max_bytes` and 16 KiB; also sends queued bytes meanwhile. Only
    /// the connection's own coroutine calls this. Bytes that have arrived come before [`Incoming::Woken`], so whoever gets that
    /// knows that nothing has arrived unread; and an end right behind them is known with them ([`Connection::is_peer_closed`]).
    ///
    /// # Errors
    ///
    /// The connection broke or was closed.
    pub fn receive(&self, buffer: &mut Vec<u8>, max_bytes: usize) -> io::Result<Incoming> {
        if self.reads_in_a_row.fetch_add(1, Ordering::Relaxed) >= MAX_BURST {
            self.reads_in_a_row.store(0, Ordering::Relaxed);
            sleep(TURN);
        }
        loop {
            self.note_events(self.stream.poll_events());
            if self.is_closed() {
                return Err(ErrorKind::NotConnected.into());
            }
            self.flush()?;
            if let Some(incoming) = self.receive_now(buffer, max_bytes)? {
                return Ok(incoming);
            }
            self.reads_in_a_row.store(0, Ordering::Relaxed);
            self.note_events(self.stream.wait_for_events());
        }
    }

    /// What can be returned without waiting.
    fn receive_now(&self, buffer: &mut Vec<u8>, max_bytes: usize) -> io::Result<Option<Incoming>> {
        let is_woken = self.is_woken.swap(false, Ordering::AcqRel);
        if !is_woken && self.is_exhausted.load(Ordering::Relaxed) {
            return Ok(None);
        }
        let (count, has_ended) = self.read(buffer, max_bytes)?;
        // If the peer sends much at once, an end far behind is known only once the worker has polled for events.
        if count == max_bytes && !self.was_polled.swap(true, Ordering::Relaxed) {
            sleep(TURN);
            self.note_events(self.stream.poll_events());
        }
        if count > 0 {
            // Whoever woke it is answered when nothing is left to read.
            self.is_woken.fetch_or(is_woken, Ordering::AcqRel);
            return Ok(Some(Incoming::Bytes(count)));
        }
        if has_ended {
            return Ok(Some(Incoming::End));
        }
        if is_woken {
            self.reads_in_a_row.store(0, Ordering::Relaxed);
        }
        Ok(is_woken.then_some(Incoming::Woken))
    }

    /// Reads until nothing has arrived or there is no more room. Returns how much was read, and whether the end came behind it; an
    /// error that came behind bytes is kept.
    fn read(&self, buffer: &mut Vec<u8>, max_bytes: usize) -> io::Result<(usize, bool)> {
        if self.is_peer_closed()
            && let Some(kind) = locked(&self.read_error).take()
        {
            return Err(kind.into());
        }
        let mut read_buffer = locked(&READ_BUFFER);
        let max_bytes = max_bytes.min(read_buffer.len());
        let mut total = 0;
        while total < max_bytes {
            match self.stream.inner().read(&mut read_buffer[..max_bytes - total]) {
                Ok(0) => {
                    self.is_peer_closed.store(true, Ordering::Relaxed);
                    return Ok((total, true));
                }
                Ok(count) => {
                    buffer.extend_from_slice(&read_buffer[..count]);
                    total += count;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.is_exhausted.store(true, Ordering::Relaxed);
                    break;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    self.is_peer_closed.store(true, Ordering::Relaxed);
                    if total == 0 {
                        return Err(e);
                    }
                    *locked(&self.read_error) = Some(e.kind());
                    break;
                }
            }
        }
        Ok((total, false))
    }

    fn note_events(&self, events: usize) {
        if events != 0 {
            self.is_exhausted.store(false, Ordering::Relaxed);
        }
        if events & PEER_CLOSED_EVENT != 0 {
            self.is_peer_closed.store(true, Ordering::Relaxed);
        }
    }

    /// Whether the peer has ended its sending or is gone, as far as the system has reported: also if bytes that it sent before are
    /// unread.
    pub fn is_peer_closed(&self) -> bool {
        self.is_peer_closed.load(Ordering::Relaxed)
    }

    /// Whether the socket holds bytes, an end or an error that nobody has read yet. Reads nothing.
    pub fn has_unread(&self) -> bool {
        !matches!(self.stream.inner().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// How long ago the system received the last bytes of the peer, where it tells that: what is read now has been waiting for at
    /// least as long.
    pub fn time_since_last_data(&self) -> Option<Duration> {
        tcp_info::time_since_last_data(self.stream.inner())
    }

    /// Makes the connection's own coroutine return from [`Connection::receive`] with [`Incoming::Woken`].
    pub fn wake(&self) {
        self.is_woken.store(true, Ordering::Release);
        self.stream.waker().wakeup();
    }

    /// Waits for any event, without reading. Only the connection's own coroutine calls this.
    pub fn wait(&self) {
        if !self.is_closed() && !self.is_woken.swap(false, Ordering::AcqRel) {
            self.note_events(self.stream.wait_for_events());
        }
    }

    /// Waits until the system has taken all queued bytes. Only the connection's own coroutine calls this.
    ///
    /// # Errors
    ///
    /// The connection broke or was closed.
    pub fn flush_all(&self) -> io::Result<()> {
        loop {
            if self.is_closed() {
                return Err(ErrorKind::NotConnected.into());
            }
            self.flush()?;
            if self.unsent() == 0 {
                return Ok(());
            }
            self.note_events(self.stream.wait_for_events());
        }
    }

    /// Sends queued bytes and then waits for any event, without reading. Only the connection's own coroutine calls this.
    ///
    /// # Errors
    ///
    /// The connection broke or was closed.
    pub fn flush_and_wait(&self) -> io::Result<()> {
        if self.is_closed() {
            return Err(ErrorKind::NotConnected.into());
        }
        self.flush()?;
        self.wait();
        Ok(())
    }

    /// Sends queued bytes, ends the sending side, and waits for the peer's end, so that an answer is not lost where unread bytes
    /// would reset the connection. What still arrives is read and dropped up to a bound and then left to the system, which stops a
    /// sender that goes on; the owner closes the connection after a while. Only the connection's own coroutine calls this.
    pub fn close_gracefully(&self) {
        if self.flush_all().is_ok() && self.stream.shutdown(Shutdown::Write).is_ok() {
            self.discard_until_end();
        }
        self.close();
    }

    fn discard_until_end(&self) {
        let (mut unread, mut discarded) = (Vec::new(), 0);
        while discarded < MAX_DISCARDED {
            match self.receive(&mut unread, MAX_READ) {
                Ok(Incoming::Bytes(count)) => discarded += count,
                Ok(Incoming::Woken) => {}
                Ok(Incoming::End) | Err(_) => break,
            }
            unread.clear();
        }
        while discarded >= MAX_DISCARDED && self.flush_and_wait().is_ok() {}
    }

    /// Ends the connection and wakes its coroutine.
    pub fn close(&self) {
        if !self.is_closed.swap(true, Ordering::AcqRel) {
            // Where the peer is gone already there is nothing left to end.
            let _ = self.stream.shutdown(Shutdown::Both);
            self.stream.waker().wakeup();
        }
    }

    /// A second handle on the socket, to be passed to another process.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn try_clone_socket(&self) -> io::Result<net::TcpStream> {
        self.stream.inner().try_clone()
    }

    /// Gives the connection up without ending it: another process continues with it.
    pub fn release(&self) {
        self.is_closed.store(true, Ordering::Release);
    }

    /// Whether [`Connection::close`] or [`Connection::release`] was called.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }
}
