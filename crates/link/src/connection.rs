//! TCP connections.

use crate::connect_error::ConnectError;
use crate::fairness::YIELD_TIME;
use crate::lock::lock_or_abort;
use crate::read_state::ReadState;
use crate::send_buffer::SendBuffer;
use crate::socket::{RegisteredSocket, Stream};
use crate::tcp_info;
use crate::timer::sleep;
use may::net::TcpStream;
use socket2::SockRef;
use std::io::{self, ErrorKind, Read};
use std::net::{self, Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Maximum bytes of one read.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Receive buffer that all connections share. Each connection copies its bytes out, so one with an incomplete message holds no
/// more memory than that message needs. One worker reads all connections, so the lock is uncontended.
static READ_BUFFER: Mutex<[u8; MAX_READ_BYTES]> = Mutex::new([0; MAX_READ_BYTES]);
/// A receive buffer grows by at least its length divided by this number.
const GROWTH_DIVISOR: usize = 4;
/// Maximum bytes that are read and discarded from a peer that still sends during a graceful close.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// A TCP connection that one coroutine reads and any coroutine or thread may write to.
pub struct Connection {
    stream: Stream,
    read_state: ReadState,
    send_buffer: Mutex<SendBuffer>,
    is_closed: AtomicBool,
    /// Callback that runs whenever the socket has taken all buffered bytes.
    on_flushed: OnceLock<Box<dyn Fn() + Send + Sync>>,
}

/// The result of [`Connection::receive`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Incoming {
    /// This number of bytes was read and appended to the buffer.
    Bytes(usize),
    /// The peer has shut down its sending side.
    End,
    /// [`Connection::wake`] was called, and no bytes are left to read.
    Woken,
}

/// The result of reading until the socket would block or a limit is reached.
struct Received {
    byte_count: usize,
    has_ended: bool,
}

/// Appends bytes to a buffer. The capacity grows by a part of the length: doubling it, as a vector does by itself, would let
/// many large messages that arrive in pieces take twice their memory.
fn append(buffer: &mut Vec<u8>, bytes: &[u8]) {
    if buffer.capacity() - buffer.len() < bytes.len() {
        buffer.reserve_exact(bytes.len() + buffer.len() / GROWTH_DIVISOR);
    }
    buffer.extend_from_slice(bytes);
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection").field("stream", &self.stream).finish_non_exhaustive()
    }
}

impl Connection {
    /// Connects to `address`, or fails after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns the system's error, classified as local or remote.
    pub fn connect(address: SocketAddr, timeout: Duration) -> Result<Self, ConnectError> {
        let started_at = Instant::now();
        let stream = TcpStream::connect_timeout(&address, timeout);
        let stream = stream.map_err(|error| ConnectError::new(error, started_at.elapsed()))?;
        Ok(Self::from_stream(Stream::Outbound(stream)))
    }

    /// Wraps a connection that was accepted, or inherited from another process.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be registered with the event loop.
    pub fn new(stream: net::TcpStream) -> io::Result<Self> {
        RegisteredSocket::new(stream).map(|stream| Self::from_stream(Stream::Inbound(stream)))
    }

    fn from_stream(stream: Stream) -> Self {
        // Disables Nagle's algorithm, which delays small answers until the peer acknowledges earlier ones. A failure only costs
        // latency.
        let _ = stream.inner().set_nodelay(true);
        Self {
            stream,
            read_state: ReadState::default(),
            send_buffer: Mutex::default(),
            is_closed: AtomicBool::new(false),
            on_flushed: OnceLock::new(),
        }
    }

    /// Writes as many bytes as the socket takes now, and buffers the rest for the connection's own coroutine to send. Never
    /// blocks. Returns whether the socket has taken all bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken or closed.
    pub fn send(&self, bytes: &[u8]) -> io::Result<bool> {
        if self.is_closed() {
            return Err(ErrorKind::NotConnected.into());
        }
        let mut send_buffer = lock_or_abort(&self.send_buffer);
        send_buffer.send(self.stream.inner(), bytes)?;
        Ok(send_buffer.is_empty())
    }

    /// Returns the number of bytes that wait for the socket to become writable.
    pub fn unsent(&self) -> usize {
        lock_or_abort(&self.send_buffer).unsent()
    }

    /// Sets the callback that the connection's own coroutine runs whenever the socket has taken all buffered bytes. Only the
    /// first call has an effect.
    pub fn on_flushed(&self, callback: impl Fn() + Send + Sync + 'static) {
        // `set` fails if the connection has a callback already, which it then keeps.
        let _ = self.on_flushed.set(Box::new(callback));
    }

    fn flush(&self) -> io::Result<()> {
        let mut send_buffer = lock_or_abort(&self.send_buffer);
        if send_buffer.is_empty() {
            return Ok(());
        }
        send_buffer.flush(self.stream.inner())?;
        let is_flushed = send_buffer.is_empty();
        // The lock is released before the callback runs, since the callback may send.
        drop(send_buffer);
        if is_flushed && let Some(callback) = self.on_flushed.get() {
            callback();
        }
        Ok(())
    }

    /// Waits for bytes and appends those that have arrived to `buffer`, at most `max_bytes` and at most 16 KiB. Sends buffered
    /// bytes meanwhile. Only the connection's own coroutine calls this.
    ///
    /// Bytes that have arrived are returned before [`Incoming::Woken`], so a caller that gets it knows that nothing is unread. If
    /// the end of stream follows the bytes directly, [`Connection::is_peer_closed`] is true as soon as they are returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken or closed.
    pub fn receive(&self, buffer: &mut Vec<u8>, max_bytes: usize) -> io::Result<Incoming> {
        if self.read_state.count_read() {
            sleep(YIELD_TIME);
        }
        loop {
            self.poll_events();
            if self.is_closed() {
                return Err(ErrorKind::NotConnected.into());
            }
            self.flush()?;
            if let Some(incoming) = self.receive_now(buffer, max_bytes)? {
                return Ok(incoming);
            }
            self.read_state.end_burst();
            self.wait_for_events();
        }
    }

    /// Returns the next result without waiting; `None` if there is none yet.
    fn receive_now(&self, buffer: &mut Vec<u8>, max_bytes: usize) -> io::Result<Option<Incoming>> {
        let is_woken = self.read_state.take_wake();
        if !is_woken && self.read_state.is_drained() {
            return Ok(None);
        }
        let received = self.read_available(buffer, max_bytes)?;
        // If the peer sent more than fits, its end of stream is known only after the worker has polled for events.
        if received.byte_count == max_bytes && self.read_state.take_first_poll() {
            sleep(YIELD_TIME);
            self.poll_events();
        }
        if received.byte_count > 0 {
            self.read_state.restore_wake(is_woken);
            return Ok(Some(Incoming::Bytes(received.byte_count)));
        }
        if received.has_ended {
            return Ok(Some(Incoming::End));
        }
        if is_woken {
            self.read_state.end_burst();
        }
        Ok(is_woken.then_some(Incoming::Woken))
    }

    /// Reads until the read would block or `max_bytes` have arrived. An error after some bytes is deferred to the next read.
    fn read_available(&self, buffer: &mut Vec<u8>, max_bytes: usize) -> io::Result<Received> {
        if let Some(kind) = self.read_state.take_deferred_error() {
            return Err(kind.into());
        }
        let mut read_buffer = lock_or_abort(&READ_BUFFER);
        let max_bytes = max_bytes.min(read_buffer.len());
        let mut total = 0;
        while total < max_bytes {
            match self.stream.inner().read(&mut read_buffer[..max_bytes - total]) {
                Ok(0) => {
                    self.read_state.set_peer_closed();
                    return Ok(Received { byte_count: total, has_ended: true });
                }
                Ok(count) => {
                    append(buffer, &read_buffer[..count]);
                    total += count;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.read_state.set_drained();
                    break;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    self.read_state.set_peer_closed();
                    if total == 0 {
                        return Err(e);
                    }
                    self.read_state.defer_error(e.kind());
                    break;
                }
            }
        }
        Ok(Received { byte_count: total, has_ended: false })
    }

    fn poll_events(&self) {
        self.read_state.apply_events(self.stream.poll_events());
    }

    fn wait_for_events(&self) {
        self.read_state.apply_events(self.stream.wait_for_events());
    }

    /// Whether the peer has shut down its sending side or reset the connection, as far as the system has reported it. Earlier
    /// bytes may still be unread.
    pub fn is_peer_closed(&self) -> bool {
        self.read_state.is_peer_closed()
    }

    /// Acknowledges the peer's bytes now instead of with the next write. The peer's system may hold back further bytes until then
    /// (Nagle's algorithm).
    pub fn acknowledge(&self) {
        // If the option cannot be set, the kernel only sends the acknowledgement later.
        let _ = SockRef::from(self.stream.inner()).set_quickack(true);
    }

    /// Whether the socket holds unread bytes, an end of stream or an error. Consumes nothing.
    pub fn has_unread(&self) -> bool {
        !matches!(self.stream.inner().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Returns the time since the system received the peer's last bytes; `None` if it is unknown. Bytes that are read now have
    /// waited for at least this time.
    pub fn time_since_last_data(&self) -> Option<Duration> {
        tcp_info::time_since_last_data(self.stream.inner())
    }

    /// Makes the connection's own coroutine return from [`Connection::receive`] with [`Incoming::Woken`].
    pub fn wake(&self) {
        self.read_state.wake();
        self.stream.waker().wakeup();
    }

    /// Waits for any event, without reading. Only the connection's own coroutine calls this.
    pub fn wait(&self) {
        if !self.is_closed() && !self.read_state.take_wake() {
            self.wait_for_events();
        }
    }

    /// Waits until the socket has taken all buffered bytes. Only the connection's own coroutine calls this.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken or closed.
    pub fn flush_all(&self) -> io::Result<()> {
        loop {
            if self.is_closed() {
                return Err(ErrorKind::NotConnected.into());
            }
            self.flush()?;
            if self.unsent() == 0 {
                return Ok(());
            }
            self.wait_for_events();
        }
    }

    /// Sends buffered bytes and then waits for any event, without reading. Only the connection's own coroutine calls this.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken or closed.
    pub fn flush_and_wait(&self) -> io::Result<()> {
        if self.is_closed() {
            return Err(ErrorKind::NotConnected.into());
        }
        self.flush()?;
        self.wait();
        Ok(())
    }

    /// Closes the connection without losing its last answer: sends the buffered bytes, half-closes, and waits for the peer's end
    /// of stream. Only the connection's own coroutine calls this.
    ///
    /// Closing a socket with unread bytes resets the connection, and a reset can destroy an answer that the peer has not read. So
    /// up to 256 KiB are read and discarded; beyond that, TCP flow control stops a peer that keeps sending. The owner bounds the
    /// wait by calling [`Connection::close`].
    pub fn close_gracefully(&self) {
        if self.flush_all().is_ok() && self.stream.shutdown(Shutdown::Write).is_ok() {
            self.discard_until_end();
        }
        self.close();
    }

    fn discard_until_end(&self) {
        let (mut unread, mut discarded) = (Vec::new(), 0);
        while discarded < MAX_DISCARDED_BYTES {
            match self.receive(&mut unread, MAX_READ_BYTES) {
                Ok(Incoming::Bytes(count)) => discarded += count,
                Ok(Incoming::Woken) => {}
                Ok(Incoming::End) | Err(_) => break,
            }
            unread.clear();
        }
        while discarded >= MAX_DISCARDED_BYTES && self.flush_and_wait().is_ok() {}
    }

    /// Closes the connection at once and wakes its coroutine.
    pub fn close(&self) {
        if !self.is_closed.swap(true, Ordering::AcqRel) {
            // `shutdown` fails if the peer has disconnected already, and nothing is left to shut down.
            let _ = self.stream.shutdown(Shutdown::Both);
            self.stream.waker().wakeup();
        }
    }

    /// Duplicates the socket, to be passed to another process.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn try_clone_socket(&self) -> io::Result<net::TcpStream> {
        self.stream.inner().try_clone()
    }

    /// Stops using the connection without shutting it down, since another process continues with it.
    pub fn release(&self) {
        self.is_closed.store(true, Ordering::Release);
    }

    /// Whether [`Connection::close`] or [`Connection::release`] was called.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }
}
