//! A backend that answers each request after a few milliseconds and can be made to fail in several ways.

use crate::history::{AttemptIndex, BackendIndex, Recorder};
use fault_harness::connections::reset_on_close;
use fault_harness::stand_ins::{
    AnswerMode, Arrival, AttemptOutcome, BackendProtocol, BackendServer, BackendSite, IdleMode,
};
use fault_harness::sync::lock;
use fault_harness::thread::spawn;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Additional service time of a slow backend.
const SLOW_WORK: Duration = Duration::from_millis(120);
/// Interval at which the accepting thread checks the mode and the listener.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// How a backend behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendMode {
    /// The backend serves requests.
    #[default]
    Healthy,
    /// The backend serves requests with an additional delay.
    Slow,
    /// The backend never answers.
    Hanging,
    /// The backend answers requests with an error.
    Failing,
    /// The backend rejects requests without running them.
    Rejecting,
    /// The backend resets the connections of about half of the requests.
    Resetting,
    /// The backend closes the connections of about half of the requests in the middle of the answer.
    Truncating,
    /// The backend closes connections after a short idle time.
    ClosingIdle,
    /// The backend resets connections after a short idle time.
    ResettingIdle,
    /// The backend stops answering on connections after a short idle time, and keeps them open.
    ForgettingIdle,
    /// The backend refuses new connections and resets open ones, like a host without the backend's process.
    Refusing,
}

struct BackendState {
    index: BackendIndex,
    mode: Mutex<BackendMode>,
    connections: Mutex<Vec<TcpStream>>,
    recorder: Recorder,
}

/// Handle of a backend. Clones refer to the same backend.
#[derive(Clone)]
pub struct Backend(Arc<BackendState>);

impl Backend {
    /// Starts a backend that listens at `address`.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn start(address: SocketAddr, index: BackendIndex, recorder: &Recorder) -> io::Result<Self> {
        let shared = BackendState {
            index,
            mode: Mutex::default(),
            connections: Mutex::default(),
            recorder: recorder.clone(),
        };
        let backend = Self(Arc::new(shared));
        let listener = TcpListener::bind(address)?;
        let acceptor = backend.clone();
        spawn(move || acceptor.accept(listener, address))?;
        Ok(backend)
    }

    /// Changes how the backend behaves. [`BackendMode::Refusing`] also resets all open connections.
    pub fn set_mode(&self, mode: BackendMode) {
        *lock(&self.0.mode) = mode;
        if mode == BackendMode::Refusing {
            for connection in lock(&self.0.connections).drain(..) {
                reset_on_close(&connection);
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
    }

    fn mode(&self) -> BackendMode {
        *lock(&self.0.mode)
    }

    /// Accepts connections until the process exits. Closes the listener while the backend refuses connections.
    fn accept(&self, listener: TcpListener, address: SocketAddr) {
        let mut listener = Some(listener);
        if let Some(listener) = &listener {
            let _ = listener.set_nonblocking(true);
        }
        loop {
            if self.mode() == BackendMode::Refusing {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
                listener.iter().for_each(|listener| drop(listener.set_nonblocking(true)));
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => self.serve_connection(stream),
                _ => thread::sleep(CHECK_INTERVAL),
            }
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(handle) = stream.try_clone() else { return };
        lock(&self.0.connections).push(handle);
        let backend = self.clone();
        let server = BackendServer { protocol: BackendProtocol::Resp, clock: self.0.recorder.clock() };
        let _ = spawn(move || {
            let peer = stream.peer_addr().ok();
            server.serve(&stream, &backend);
            let _ = stream.shutdown(Shutdown::Both);
            lock(&backend.0.connections)
                .retain(|other| other.peer_addr().is_ok_and(|address| Some(address) != peer));
        });
    }
}

impl BackendSite for Backend {
    type Attempt = AttemptIndex;

    fn idle_mode(&self) -> IdleMode {
        match self.mode() {
            BackendMode::ClosingIdle => IdleMode::Close,
            BackendMode::ResettingIdle => IdleMode::Reset,
            BackendMode::ForgettingIdle => IdleMode::Forget,
            _ => IdleMode::Keep,
        }
    }

    fn answer_mode(&self, random: &mut fastrand::Rng) -> AnswerMode {
        match self.mode() {
            BackendMode::Slow => AnswerMode::Slow(SLOW_WORK),
            BackendMode::Hanging => AnswerMode::Hang,
            BackendMode::Failing => AnswerMode::Fail,
            BackendMode::Rejecting => AnswerMode::Reject,
            BackendMode::Resetting if random.bool() => AnswerMode::Reset,
            BackendMode::Truncating if random.bool() => AnswerMode::Truncate,
            _ => AnswerMode::Serve,
        }
    }

    fn arrived(&self, arrival: Arrival) -> AttemptIndex {
        self.0.recorder.begin_attempt(self.0.index, arrival)
    }

    fn ended(&self, attempt: &AttemptIndex, outcome: AttemptOutcome) {
        self.0.recorder.end_attempt(*attempt, outcome);
    }
}
