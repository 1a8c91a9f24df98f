//! Listeners.

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
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// What the accept loop does.
mod state {
    /// Accepts connections.
    pub(super) const OPEN: u8 = 0;
    /// Accepts nothing for now.
    pub(super) const PAUSED: u8 = 1;
    /// Accepts those that wait already, then ends.
    pub(super) const CLOSING: u8 = 2;
    /// Ends, and leaves those that wait to whoever else accepts at the socket.
    pub(super) const ABANDONED: u8 = 3;
}

/// Connections that may wait to be accepted: hundreds come at once when another gatekeeper has gone.
const BACKLOG: i32 = 1024;
/// Pause after an error of accept, such as a lack of descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(5);

/// A listener whose accept loop can be paused and ended from outside.
#[derive(Debug)]
pub struct Listener {
    socket: Watched<TcpListener>,
    state: AtomicU8,
    burst: Mutex<Burst>,
}

/// Connections accepted in a row.
#[derive(Debug)]
struct Burst {
    accepted: u32,
    since: Instant,
}

impl Listener {
    /// Listens on this address only. Another process may listen there too.
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

    /// Accepts on a listener that another process has opened.
    ///
    /// # Errors
    ///
    /// The system cannot watch it.
    pub fn inherit(listener: TcpListener) -> io::Result<Self> {
        let burst = Mutex::new(Burst { accepted: 0, since: Instant::now() });
        Ok(Self { socket: Watched::new(listener)?, state: AtomicU8::new(state::OPEN), burst })
    }

    /// The address that it listens on.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.io().inner().local_addr()
    }

    /// The descriptor, to be passed to another process.
    pub fn descriptor(&self) -> BorrowedFd<'_> {
        self.socket.io().inner().as_fd()
    }

    /// Waits for the next connection; `None` once the listener is closed and no connection waits.
    pub fn accept(&self) -> Option<Connection> {
        self.give_turn();
        loop {
            match self.state.load(Ordering::Acquire) {
                state::PAUSED => {
                    self.socket.io().wait_io();
                    continue;
                }
                state::ABANDONED => return None,
                _ => {}
            }
            match self.socket.io().inner().accept().and_then(|(stream, _)| Connection::new(stream)) {
                Ok(connection) => return Some(connection),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if self.state.load(Ordering::Acquire) == state::CLOSING {
                        // New ones are refused at once. It can only fail if it is shut down already.
                        let _ = SockRef::from(self.socket.io().inner()).shutdown(Shutdown::Both);
                        return None;
                    }
                    self.socket.io().wait_io();
                }
                // Out of descriptors: others must close before this can continue. Other errors concern one connection.
                Err(_) => sleep(ACCEPT_RETRY),
            }
        }
    }

    /// Lets other coroutines run after a burst of accepted connections.
    fn give_turn(&self) {
        let is_burst = {
            let mut burst = locked(&self.burst);
            burst.accepted += 1;
            let is_burst = burst.accepted > MAX_BURST;
            if is_burst || burst.since.elapsed() > TURN {
                *burst = Burst { accepted: 0, since: Instant::now() };
            }
            is_burst
        };
        if is_burst {
            sleep(TURN);
        }
    }

    /// Accepts nothing for now, or again. Connections wait at the socket meanwhile, for whoever else accepts there.
    pub fn set_paused(&self, paused: bool) {
        self.set_state(if paused { state::PAUSED } else { state::OPEN });
    }

    /// Accepts those that wait already, and nobody more. A paused one leaves them to whoever else accepts there.
    pub fn close(&self) {
        let is_paused = self.state.load(Ordering::Acquire) == state::PAUSED;
        self.set_state(if is_paused { state::ABANDONED } else { state::CLOSING });
    }

    fn set_state(&self, state: u8) {
        self.state.store(state, Ordering::Release);
        self.socket.io().waker().wakeup();
    }
}
