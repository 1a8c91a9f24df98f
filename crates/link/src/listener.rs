//! Listening sockets.

use crate::accept_state::{AcceptState, SharedAcceptState};
use crate::connection::Connection;
use crate::fairness::{MAX_BURST, TURN};
use crate::lock::locked;
use crate::socket::Watched;
use crate::timer::sleep;
use may::io::WaitIo;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Maximum length of the accept queue. Hundreds of clients reconnect at once when another gatekeeper has failed.
const BACKLOG: i32 = 1024;
/// Backoff after an error of `accept(2)`, such as a lack of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(5);

/// A listening socket whose accept loop can be paused and ended by other coroutines and threads.
#[derive(Debug)]
pub struct Listener {
    socket: Watched<TcpListener>,
    state: SharedAcceptState,
    burst: Mutex<Burst>,
}

/// Connections accepted in quick succession.
#[derive(Debug)]
struct Burst {
    accepted: u32,
    started_at: Instant,
}

impl Burst {
    fn start() -> Self {
        Self { accepted: 0, started_at: Instant::now() }
    }

    /// Counts an accepted connection, and returns whether the burst is over and other coroutines get a turn.
    fn count_accept(&mut self) -> bool {
        self.accepted += 1;
        let is_over = self.accepted > MAX_BURST;
        if is_over || self.started_at.elapsed() > TURN {
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

    /// Accepts on a listening socket that another process has opened.
    ///
    /// # Errors
    ///
    /// Fails where the system cannot watch the socket for events.
    pub fn inherit(listener: TcpListener) -> io::Result<Self> {
        let socket = Watched::new(listener)?;
        let state = SharedAcceptState::new(AcceptState::Open);
        Ok(Self { socket, state, burst: Mutex::new(Burst::start()) })
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

    /// Waits for the next connection. Returns `None` once the listener is closed and its backlog is empty.
    pub fn accept(&self) -> Option<Connection> {
        self.yield_after_burst();
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
                        // Refuses new connections from here on. Fails only where the socket is shut down already.
                        let _ = SockRef::from(self.socket.io().inner()).shutdown(Shutdown::Both);
                        return None;
                    }
                    self.socket.io().wait_io();
                }
                // Without free descriptors the loop cannot go on until connections are closed. Other errors concern one connection.
                Err(_) => sleep(ACCEPT_BACKOFF),
            }
        }
    }

    /// Lets other coroutines run after a burst of accepted connections.
    fn yield_after_burst(&self) {
        let is_over = locked(&self.burst).count_accept();
        if is_over {
            sleep(TURN);
        }
    }

    /// Pauses or resumes the accept loop. Connections stay in the backlog meanwhile, for other processes that accept at the socket.
    pub fn set_paused(&self, paused: bool) {
        self.set_state(if paused { AcceptState::Paused } else { AcceptState::Open });
    }

    /// Ends the accept loop after the connections in the backlog. A paused listener leaves its backlog to the other processes that
    /// accept at the socket.
    pub fn close(&self) {
        let is_paused = self.state.get() == AcceptState::Paused;
        self.set_state(if is_paused { AcceptState::Abandoned } else { AcceptState::Closing });
    }

    fn set_state(&self, state: AcceptState) {
        self.state.set(state);
        self.socket.io().waker().wakeup();
    }
}
