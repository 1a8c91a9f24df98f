//! Listening sockets.

use crate::accept_state::{AcceptState, SharedAcceptState};
use crate::connection::Connection;
use crate::fairness::{MAX_BURST, YIELD_TIME};
use crate::lock::lock_or_abort;
use crate::socket::RegisteredSocket;
use crate::timer::sleep;
use may::io::WaitIo;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Maximum length of the accept queue. Hundreds of clients reconnect at once when another gatekeeper fails.
const BACKLOG: i32 = 1024;
/// Backoff after an error of `accept(2)`, such as a lack of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(5);

/// A listening socket. Other coroutines and threads may pause or end its accept loop.
#[derive(Debug)]
pub struct Listener {
    socket: RegisteredSocket<TcpListener>,
    state: SharedAcceptState,
    /// Whether [`Listener::accept`] has returned `None`.
    has_ended: AtomicBool,
    burst: Mutex<AcceptBurst>,
}

/// Counts the connections that were accepted without a pause, to limit such a burst.
#[derive(Debug)]
struct AcceptBurst {
    accepted_count: u32,
    started_at: Instant,
}

impl AcceptBurst {
    fn start() -> Self {
        Self { accepted_count: 0, started_at: Instant::now() }
    }

    /// Counts an accepted connection, and returns whether the burst has reached its maximum, so that the accept loop must yield.
    fn count_accept(&mut self) -> bool {
        self.accepted_count += 1;
        let is_over = self.accepted_count > MAX_BURST;
        if is_over || self.started_at.elapsed() > YIELD_TIME {
            *self = Self::start();
        }
        is_over
    }
}

impl Listener {
    /// Listens on an address, with `SO_REUSEPORT`: other processes may listen there too.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Self::inherit(socket.into())
    }

    /// Wraps a listening socket that another process has opened.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be registered with the event loop.
    pub fn inherit(listener: TcpListener) -> io::Result<Self> {
        let socket = RegisteredSocket::new(listener)?;
        let state = SharedAcceptState::new(AcceptState::Open);
        let burst = Mutex::new(AcceptBurst::start());
        Ok(Self { socket, state, has_ended: AtomicBool::new(false), burst })
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.io().inner().local_addr()
    }

    /// Returns the descriptor, to be passed to another process.
    pub fn descriptor(&self) -> BorrowedFd<'_> {
        self.socket.io().inner().as_fd()
    }

    /// Waits for the next connection. Returns `None` once the listener is closed and its accept queue is empty, or once the
    /// listener has left the accept queue to the other processes that listen on the socket.
    pub fn accept(&self) -> Option<Connection> {
        self.yield_after_burst();
        let connection = self.accept_next();
        if connection.is_none() {
            self.has_ended.store(true, Ordering::Release);
        }
        connection
    }

    /// Whether the accept loop may still accept connections. It has added all that it accepted to its table once this is false.
    pub fn is_accepting(&self) -> bool {
        !self.has_ended.load(Ordering::Acquire)
    }

    fn accept_next(&self) -> Option<Connection> {
        loop {
            match self.state.get() {
                AcceptState::Paused => {
                    self.socket.io().wait_io();
                    continue;
                }
                AcceptState::Abandoned => return None,
                AcceptState::Open | AcceptState::Closing => {}
            }
            match self.socket.io().inner().accept().and_then(|(stream, _)| Connection::new(stream)) {
                Ok(connection) => return Some(connection),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if self.state.get() == AcceptState::Closing {
                        // From now on the kernel refuses new connections. The call fails only if the socket is shut down already.
                        let _ = SockRef::from(self.socket.io().inner()).shutdown(Shutdown::Both);
                        return None;
                    }
                    self.socket.io().wait_io();
                }
                // Without free descriptors, nothing can be accepted until connections are closed. Other errors affect only one
                // connection.
                Err(_) => sleep(ACCEPT_BACKOFF),
            }
        }
    }

    /// Lets other coroutines run after a burst of accepted connections.
    fn yield_after_burst(&self) {
        let is_over = lock_or_abort(&self.burst).count_accept();
        if is_over {
            sleep(YIELD_TIME);
        }
    }

    /// Pauses or resumes the accept loop. While it is paused, connections stay in the backlog for other processes that accept on
    /// the socket.
    pub fn set_paused(&self, paused: bool) {
        self.set_state(if paused { AcceptState::Paused } else { AcceptState::Open });
    }

    /// Ends the accept loop once the connections in the backlog are accepted. A paused listener leaves its backlog to the other
    /// processes that accept on the socket.
    pub fn close(&self) {
        let is_paused = self.state.get() == AcceptState::Paused;
        self.set_state(if is_paused { AcceptState::Abandoned } else { AcceptState::Closing });
    }

    fn set_state(&self, state: AcceptState) {
        self.state.set(state);
        self.socket.io().waker().wakeup();
    }
}
