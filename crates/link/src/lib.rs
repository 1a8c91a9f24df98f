//! Coroutines and non-blocking TCP links.
//!
//! All sockets of the program are driven by one `may` worker. Each [`Link`] has one coroutine that waits on it; any
//! other coroutine or thread may queue bytes on it, wake it or close it without ever waiting.

mod alarm;

pub use alarm::sleep;
use may::coroutine::{Builder, JoinHandle};
use may::io::{CoIo, WaitIo, WaitIoWaker};
use may::net::TcpStream;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{self, Shutdown, SocketAddr, TcpListener};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

/// Bytes of stack of an ordinary coroutine. Pages are touched only when used; the room above what the program needs
/// is for the text of a panic.
pub const STACK: usize = 128 * 1024;
/// Bytes of stack where JSON is parsed.
pub const LARGE_STACK: usize = 1024 * 1024;
/// Reads, or accepted connections, in a row after which all others get a turn. The worker looks for news of other
/// sockets only when every coroutine waits, so one that always finds bytes would starve them.
const BURST: u32 = 16;
/// How long they get. A sleep and no yield: what yields stays in the worker's queue and keeps it from looking.
const REST: Duration = Duration::from_millis(1);
/// Where all links read into before they keep what has come: a connection that waits for the rest of a command holds no more
/// than it has sent. All links are read by one worker, so nobody waits for it.
static SCRATCH: Mutex<[u8; 16 * 1024]> = Mutex::new([0; 16 * 1024]);
/// The flag among the system's events (EPOLLRDHUP) that tells that the other side has ended its sending or has reset.
const LEFT_EVENT: usize = 0x2000;
/// Bytes that are taken in unread for a client that is told its end while it sends.
const MOST_DISCARDED: usize = 256 * 1024;

/// Sets `may` up for one core: one worker, not pinned, since other programs may share the core.
pub fn set_up() {
    may::config().set_workers(1).set_stack_size(words(STACK)).set_pool_capacity(64).set_worker_pin(false);
}

fn words(bytes: usize) -> usize {
    bytes / size_of::<usize>()
}

/// Starts a coroutine with [`STACK`] bytes of stack.
pub fn spawn<F: FnOnce() + Send + 'static>(f: F) -> JoinHandle<()> {
    spawn_with(STACK, f)
}

/// Starts a coroutine with this many bytes of stack.
///
/// # Panics
///
/// Panics where the system has no memory for the stack.
#[allow(unsafe_code)]
pub fn spawn_with<F: FnOnce() + Send + 'static>(stack: usize, f: F) -> JoinHandle<()> {
    // SAFETY: `may` asks for two things. No coroutine here keeps a reference into thread-local storage over a point
    // where it waits, and with one worker none ever moves to another thread. Each stack ends in a guard page and is
    // far larger than what runs on it: parsers don't recurse, and JSON is read on `LARGE_STACK`.
    unsafe { Builder::new().stack_size(words(stack)).spawn(f) }.expect("memory for a coroutine's stack")
}

/// Locks a mutex. None is held over a wait, so this takes moments at most.
///
/// A poisoned lock means that the state behind it may be half-changed. Going on could break a rule in silence, so the
/// program ends; a gatekeeper that starts anew knows what it needs.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|_| {
        eprintln!("fatal: a panic left shared state half-changed");
        std::process::abort()
    })
}

/// A socket that was accepted or given, under `may`'s watch.
#[derive(Debug)]
struct Watched<T: AsRawFd>(Option<CoIo<T>>);

impl<T: AsRawFd> Watched<T> {
    fn new(socket: T) -> io::Result<Self> {
        CoIo::new(socket).map(|io| Self(Some(io))).map_err(|e| io::Error::other(e.to_string()))
    }

    fn io(&self) -> &CoIo<T> {
        self.0.as_ref().expect("taken only when dropped")
    }
}

impl<T: AsRawFd> Drop for Watched<T> {
    /// `CoIo` closes its socket before it ends the watch. Where another process holds the socket too, the system would go on
    /// telling of it by a memory that is free; taken out of it, the socket is closed last.
    fn drop(&mut self) {
        drop(self.0.take().map(CoIo::into_inner));
    }
}

/// A connection that was made here, or one that was accepted.
#[derive(Debug)]
enum Stream {
    Made(TcpStream),
    Taken(Watched<net::TcpStream>),
}

impl Stream {
    fn inner(&self) -> &net::TcpStream {
        match self {
            Self::Made(stream) => stream.inner(),
            Self::Taken(stream) => stream.io().inner(),
        }
    }

    /// Waits for an event; returns the system's flags of all that came since the last look.
    fn wait_io(&self) -> usize {
        match self {
            Self::Made(stream) => stream.wait_io(),
            Self::Taken(stream) => stream.io().wait_io(),
        }
    }

    /// The flags of events that came since the last look, without a wait.
    #[allow(deprecated)] // It says that nobody needs to call it, but no other call looks without waiting.
    fn events(&self) -> usize {
        match self {
            Self::Made(stream) => stream.reset_io(),
            Self::Taken(stream) => stream.io().reset_io(),
        }
    }

    fn waker(&self) -> WaitIoWaker {
        match self {
            Self::Made(stream) => stream.waker(),
            Self::Taken(stream) => stream.io().waker(),
        }
    }

    fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        self.inner().shutdown(how)
    }
}

/// A TCP connection that one coroutine waits on and any may write to.
pub struct Link {
    stream: Stream,
    out: Mutex<Outgoing>,
    closed: AtomicBool,
    woken: AtomicBool,
    /// The other side has ended its sending, or is gone: seen though bytes from before are unread.
    left: AtomicBool,
    /// The last read found nothing, so only an event can bring more.
    dry: AtomicBool,
    /// The worker has looked for events since this link was made.
    looked: AtomicBool,
    /// Why no more can be read: said once by the system, and kept for the next read.
    broken: Mutex<Option<ErrorKind>>,
    /// Called when the socket has taken all that waited.
    drained: OnceLock<Box<dyn Fn() + Send + Sync>>,
    /// Reads in a row that did not have to wait.
    streak: AtomicU32,
}

/// Bytes that the socket has not taken yet.
#[derive(Debug, Default)]
struct Outgoing {
    bytes: Vec<u8>,
    at: usize,
}

/// What came of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Incoming {
    /// That many bytes were read.
    Bytes(usize),
    /// The other side has ended its sending.
    End,
    /// [`Link::wake`] was called.
    Woken,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Link").field("stream", &self.stream).finish_non_exhaustive()
    }
}

impl Link {
    /// Opens a connection, or fails after `timeout`.
    ///
    /// # Errors
    ///
    /// Passes on what the system says.
    pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, timeout)?;
        Ok(Self::of(Stream::Made(stream)))
    }

    /// Takes over an open connection.
    ///
    /// # Errors
    ///
    /// The system cannot watch it.
    pub fn new(stream: net::TcpStream) -> io::Result<Self> {
        Watched::new(stream).map(|stream| Self::of(Stream::Taken(stream)))
    }

    fn of(stream: Stream) -> Self {
        // Without it small answers wait for acknowledgements; where it fails they do, and nothing else is lost.
        let _ = stream.inner().set_nodelay(true);
        Self {
            stream,
            out: Mutex::default(),
            closed: AtomicBool::new(false),
            woken: AtomicBool::new(false),
            left: AtomicBool::new(false),
            dry: AtomicBool::new(false),
            looked: AtomicBool::new(false),
            broken: Mutex::default(),
            drained: OnceLock::new(),
            streak: AtomicU32::new(0),
        }
    }

    /// Writes what the socket takes now and keeps the rest for the coroutine that waits on this link. Tells whether
    /// all bytes are with the system.
    ///
    /// # Errors
    ///
    /// The connection is broken or closed.
    pub fn send(&self, bytes: &[u8]) -> io::Result<bool> {
        if self.is_closed() {
            return Err(ErrorKind::NotConnected.into());
        }
        let mut out = locked(&self.out);
        let mut rest = bytes;
        if out.bytes.is_empty() {
            while !rest.is_empty() {
                match self.stream.inner().write(rest) {
                    Ok(n) => rest = &rest[n..],
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) => return Err(e),
                }
            }
        }
        out.bytes.extend_from_slice(rest);
        Ok(out.bytes.is_empty())
    }

    /// Bytes that wait for the socket.
    pub fn unsent(&self) -> usize {
        let out = locked(&self.out);
        out.bytes.len() - out.at
    }

    /// Names who is called, by the link's own coroutine, whenever the socket has taken all that waited.
    pub fn when_drained(&self, told: impl Fn() + Send + Sync + 'static) {
        // Named twice, the first stays.
        let _ = self.drained.set(Box::new(told));
    }

    fn flush(&self) -> io::Result<()> {
        let mut out = locked(&self.out);
        if out.bytes.is_empty() {
            return Ok(());
        }
        while out.at < out.bytes.len() {
            match self.stream.inner().write(&out.bytes[out.at..]) {
                Ok(n) => out.at += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        *out = Outgoing::default();
        drop(out);
        if let Some(told) = self.drained.get() {
            told();
        }
        Ok(())
    }

    /// Waits for bytes and appends all that are here, at most `most` and 16 KiB; also sends what waits meanwhile. Only the
    /// link's own coroutine calls this. Bytes that are here come before [`Incoming::Woken`], so whoever is told that knows
    /// that nothing has come in unseen; and an end right behind them is seen with them ([`Link::is_left`]).
    ///
    /// # Errors
    ///
    /// The connection broke or was closed.
    pub fn receive(&self, buffer: &mut Vec<u8>, most: usize) -> io::Result<Incoming> {
        if self.streak.fetch_add(1, Ordering::Relaxed) >= BURST {
            self.streak.store(0, Ordering::Relaxed);
            sleep(REST);
        }
        loop {
            self.note(self.stream.events());
            if self.is_closed() {
                return Err(ErrorKind::NotConnected.into());
            }
            self.flush()?;
            let woken = self.woken.swap(false, Ordering::AcqRel);
            if woken || !self.dry.load(Ordering::Relaxed) {
                let (read, end) = self.read(buffer, most)?;
                // Of one that sends much at once an end far behind is known only once the worker has looked for events.
                if read == most && !self.looked.swap(true, Ordering::Relaxed) {
                    sleep(REST);
                    self.note(self.stream.events());
                }
                if read > 0 {
                    // Whoever woke it is told when nothing is left to read.
                    self.woken.fetch_or(woken, Ordering::AcqRel);
                    return Ok(Incoming::Bytes(read));
                }
                if end {
                    return Ok(Incoming::End);
                }
                if woken {
                    self.streak.store(0, Ordering::Relaxed);
                    return Ok(Incoming::Woken);
                }
            }
            self.streak.store(0, Ordering::Relaxed);
            self.note(self.stream.wait_io());
        }
    }

    /// Reads until nothing is here or there is no more room. Tells how much was read, and whether the end came behind it; an
    /// error that came behind bytes is kept.
    fn read(&self, buffer: &mut Vec<u8>, most: usize) -> io::Result<(usize, bool)> {
        if self.is_left()
            && let Some(kind) = locked(&self.broken).take()
        {
            return Err(kind.into());
        }
        let mut scratch = locked(&SCRATCH);
        let most = most.min(scratch.len());
        let mut total = 0;
        while total < most {
            match self.stream.inner().read(&mut scratch[..most - total]) {
                Ok(0) => {
                    self.left.store(true, Ordering::Relaxed);
                    return Ok((total, true));
                }
                Ok(n) => {
                    buffer.extend_from_slice(&scratch[..n]);
                    total += n;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.dry.store(true, Ordering::Relaxed);
                    break;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    self.left.store(true, Ordering::Relaxed);
                    if total == 0 {
                        return Err(e);
                    }
                    *locked(&self.broken) = Some(e.kind());
                    break;
                }
            }
        }
        Ok((total, false))
    }

    /// Takes in the flags of events.
    fn note(&self, events: usize) {
        if events != 0 {
            self.dry.store(false, Ordering::Relaxed);
        }
        if events & LEFT_EVENT != 0 {
            self.left.store(true, Ordering::Relaxed);
        }
    }

    /// Whether the other side has ended its sending or is gone, as far as the system has told: also where bytes that it sent
    /// before are unread.
    pub fn is_left(&self) -> bool {
        self.left.load(Ordering::Relaxed)
    }

    /// Whether the socket holds bytes, an end or an error that nobody has read yet. Takes nothing.
    pub fn has_news(&self) -> bool {
        !matches!(self.stream.inner().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Has the link's own coroutine come back from [`Link::receive`] with [`Incoming::Woken`].
    pub fn wake(&self) {
        self.woken.store(true, Ordering::Release);
        self.stream.waker().wakeup();
    }

    /// Waits for anything to happen on the link, without reading. Only the link's own coroutine calls this.
    pub fn wait(&self) {
        if !self.is_closed() && !self.woken.swap(false, Ordering::AcqRel) {
            self.note(self.stream.wait_io());
        }
    }

    /// Waits until the system has taken all bytes. Only the link's own coroutine calls this.
    ///
    /// # Errors
    ///
    /// The connection broke or was closed.
    pub fn drain(&self) -> io::Result<()> {
        loop {
            if self.is_closed() {
                return Err(ErrorKind::NotConnected.into());
            }
            self.flush()?;
            if self.unsent() == 0 {
                return Ok(());
            }
            self.note(self.stream.wait_io());
        }
    }

    /// Sends what waits and then waits for anything to happen, without reading. Only the link's own coroutine calls this.
    ///
    /// # Errors
    ///
    /// The connection broke or was closed.
    pub fn rest(&self) -> io::Result<()> {
        if self.is_closed() {
            return Err(ErrorKind::NotConnected.into());
        }
        self.flush()?;
        self.wait();
        Ok(())
    }

    /// Sends what waits, says that no more will come, and waits for the other side's end, so that an answer is not
    /// lost where unread bytes would reset the connection. What still comes is taken in up to a bound and then left to
    /// the system, which stops a sender that goes on; the owner closes the link after a while. Only the link's own
    /// coroutine calls this.
    pub fn finish(&self) {
        let (mut unread, mut discarded) = (Vec::new(), 0);
        if self.drain().is_ok() && self.stream.shutdown(Shutdown::Write).is_ok() {
            while discarded < MOST_DISCARDED {
                match self.receive(&mut unread, 16 * 1024) {
                    Ok(Incoming::Bytes(n)) => discarded += n,
                    Ok(Incoming::Woken) => {}
                    Ok(Incoming::End) | Err(_) => break,
                }
                unread.clear();
            }
            while discarded >= MOST_DISCARDED && self.rest().is_ok() {}
        }
        self.close();
    }

    /// Ends the connection and wakes its coroutine.
    pub fn close(&self) {
        if !self.closed.swap(true, Ordering::AcqRel) {
            // Where the other side is gone already there is nothing left to end.
            let _ = self.stream.shutdown(Shutdown::Both);
            self.stream.waker().wakeup();
        }
    }

    /// A second handle on the connection, to be passed to another process.
    ///
    /// # Errors
    ///
    /// Passes on what the system says.
    pub fn handle(&self) -> io::Result<net::TcpStream> {
        self.stream.inner().try_clone()
    }

    /// Lets go of the connection without ending it: another process goes on with it.
    pub fn let_go(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Whether [`Link::close`] or [`Link::let_go`] was called.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }
}

/// A listener whose accept loop can be ended from outside.
#[derive(Debug)]
pub struct Door {
    listener: Watched<TcpListener>,
    state: AtomicU8,
    /// Connections accepted since the last look at the clock, and when that was.
    streak: Mutex<(u32, Instant)>,
}

/// What the accept loop of a [`Door`] does.
const OPEN: u8 = 0;
const HELD: u8 = 1;
const SHUT: u8 = 2;
const LEFT: u8 = 3;
/// Connections that may wait to be accepted: hundreds come at once when another gatekeeper has gone.
const BACKLOG: i32 = 1024;

impl Door {
    /// Listens on this address only. Another process may listen there too.
    ///
    /// # Errors
    ///
    /// Passes on what the system says.
    pub fn open(at: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        Self::given(socket.into())
    }

    /// Accepts on a listener that another process has opened.
    ///
    /// # Errors
    ///
    /// The system cannot watch it.
    pub fn given(listener: TcpListener) -> io::Result<Self> {
        let listener = Watched::new(listener)?;
        Ok(Self { listener, state: AtomicU8::new(OPEN), streak: Mutex::new((0, Instant::now())) })
    }

    /// The address that it listens on.
    ///
    /// # Errors
    ///
    /// Passes on what the system says.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.io().inner().local_addr()
    }

    /// The listener itself, to be passed to another process.
    pub fn listener(&self) -> BorrowedFd<'_> {
        self.listener.io().inner().as_fd()
    }

    /// Waits for the next connection; `None` once the door is shut and nobody stands before it.
    pub fn accept(&self) -> Option<Link> {
        let tired = {
            let mut streak = locked(&self.streak);
            streak.0 += 1;
            let tired = streak.0 > BURST;
            if tired || streak.1.elapsed() > REST {
                *streak = (0, Instant::now());
            }
            tired
        };
        if tired {
            sleep(REST);
        }
        loop {
            match self.state.load(Ordering::Acquire) {
                HELD => {
                    self.listener.io().wait_io();
                    continue;
                }
                LEFT => return None,
                _ => {}
            }
            match self.listener.io().inner().accept().and_then(|(stream, _)| Link::new(stream)) {
                Ok(link) => return Some(link),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if self.state.load(Ordering::Acquire) == SHUT {
                        // Those who come now are refused at once. It can only fail where it is shut already.
                        let _ = SockRef::from(self.listener.io().inner()).shutdown(Shutdown::Both);
                        return None;
                    }
                    self.listener.io().wait_io();
                }
                // Out of descriptors: others must close before this can go on. What else there is concerns one connection.
                Err(_) => sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Accepts nothing for now, or again. Connections wait at the listener meanwhile, for whoever else accepts there.
    pub fn hold(&self, held: bool) {
        self.go_to(if held { HELD } else { OPEN });
    }

    /// Accepts those who stand before the door, and nobody more. What is held is left to whoever else accepts there.
    pub fn shut(&self) {
        let held = self.state.load(Ordering::Acquire) == HELD;
        self.go_to(if held { LEFT } else { SHUT });
    }

    fn go_to(&self, state: u8) {
        self.state.store(state, Ordering::Release);
        self.listener.io().waker().wakeup();
    }
}
