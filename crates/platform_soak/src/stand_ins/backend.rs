//! A backend, which answers each request after a few milliseconds and can be made to fail in several ways.

use crate::history::{AttemptOutcome, AttemptRecord, BackendIndex, Moment, Recorder, RequestNumber};
use fault_harness::connections::{is_temporary, keep_silent_for, reset_on_close};
use fault_harness::sync::lock;
use fault_harness::thread::spawn;
use fault_harness::wire;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Service time of a request, in microseconds.
const WORK_US: Range<u64> = 2_000..9_000;
/// Additional service time of a slow backend.
const SLOW_WORK: Duration = Duration::from_millis(120);
/// Time after which a connection counts as idle.
const SHORT_IDLE: Duration = Duration::from_millis(60);
/// Maximum time for which a connection is kept without an answer.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// Interval at which the listener checks its mode and accepts.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Index of the request's id among the arguments of a command.
const ID: usize = 2;
/// Index of its values.
const VALUES: usize = 3;

/// How a backend behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendMode {
    /// It serves requests.
    #[default]
    Healthy,
    /// It serves late.
    Slow,
    /// It never answers.
    Hanging,
    /// It answers with an error.
    Failing,
    /// It rejects.
    Rejecting,
    /// It resets the connections of about half of the requests.
    Resetting,
    /// It closes the connections of about half of the requests within the answer.
    Truncating,
    /// It closes idle connections early.
    ClosingIdle,
    /// It resets idle connections early.
    ResettingIdle,
    /// It stops answering on idle connections.
    ForgettingIdle,
    /// Its host refuses connections and resets open ones.
    Refusing,
}

struct Shared {
    index: BackendIndex,
    mode: Mutex<BackendMode>,
    connections: Mutex<Vec<TcpStream>>,
    recorder: Recorder,
}

/// A backend. Clones are the same one.
#[derive(Clone)]
pub struct Backend(Arc<Shared>);

/// A request that has arrived.
struct Received {
    number: RequestNumber,
    began: Moment,
    time_left: Duration,
}

impl Backend {
    /// Listens at this address.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn start(address: SocketAddr, index: BackendIndex, recorder: &Recorder) -> io::Result<Self> {
        let shared = Shared {
            index,
            mode: Mutex::default(),
            connections: Mutex::default(),
            recorder: recorder.clone(),
        };
        let backend = Self(Arc::new(shared));
        let listener = TcpListener::bind(address)?;
        let accepting = backend.clone();
        spawn(move || accepting.accept(listener, address))?;
        Ok(backend)
    }

    /// Changes how it behaves.
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
                Some(Ok((stream, _))) => self.open(stream),
                _ => thread::sleep(CHECK_INTERVAL),
            }
        }
    }

    fn open(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(handle) = stream.try_clone() else { return };
        lock(&self.0.connections).push(handle);
        let backend = self.clone();
        let _ = spawn(move || {
            let peer = stream.peer_addr().ok();
            let _ = backend.serve(&stream);
            let _ = stream.shutdown(Shutdown::Both);
            lock(&backend.0.connections).retain(|other| other.peer_addr().is_ok_and(|at| Some(at) != peer));
        });
    }

    /// Serves a connection until it ends.
    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        let mut commands = BufReader::new(stream.try_clone()?);
        let mut random = fastrand::Rng::with_seed(self.0.recorder.now().as_nanos() as u64);
        let mut served = 0;
        loop {
            if served > 0 && !self.wait_for_command(stream)? {
                return Ok(());
            }
            let Some(received) = self.read(&mut commands, stream)? else { return Ok(()) };
            served += 1;
            if !self.answer(stream, received, &mut random)? {
                return Ok(());
            }
        }
    }

    /// Waits for the next command on an idle connection. Returns whether the connection is kept.
    fn wait_for_command(&self, stream: &TcpStream) -> io::Result<bool> {
        loop {
            stream.set_read_timeout(Some(SHORT_IDLE))?;
            match stream.peek(&mut [0]) {
                Ok(count) => return Ok(count > 0),
                Err(error) if is_temporary(&error) => {}
                Err(error) => return Err(error),
            }
            match self.mode() {
                BackendMode::ClosingIdle => return Ok(false),
                BackendMode::ResettingIdle => {
                    reset_on_close(stream);
                    return Ok(false);
                }
                BackendMode::ForgettingIdle => {
                    keep_silent_for(&mut stream.try_clone()?, LONGEST_WAIT);
                    return Ok(false);
                }
                _ => {}
            }
        }
    }

    /// Reads one command; none if the connection ends first.
    fn read(&self, commands: &mut BufReader<TcpStream>, stream: &TcpStream) -> io::Result<Option<Received>> {
        stream.set_read_timeout(None)?;
        if commands.fill_buf()?.is_empty() {
            return Ok(None);
        }
        let began = self.0.recorder.now();
        let Some(words) = wire::read_resp_command(commands) else { return Ok(None) };
        let number = words.get(ID).and_then(|id| RequestNumber::parse(id));
        let time_left = words.get(VALUES).and_then(|values| milliseconds(values));
        Ok(number.zip(time_left).map(|(number, time_left)| Received { number, began, time_left }))
    }

    /// Answers a request. Returns whether the connection is kept.
    fn answer(&self, stream: &TcpStream, received: Received, random: &mut fastrand::Rng) -> io::Result<bool> {
        let recorder = &self.0.recorder;
        let Received { number, began, time_left } = received;
        let place = recorder.begin_attempt(AttemptRecord {
            request: number,
            backend: self.0.index,
            began,
            arrived: recorder.now(),
            time_left,
            ended: None,
            outcome: AttemptOutcome::Open,
        });
        let mode = self.mode();
        let work = Duration::from_micros(random.u64(WORK_US));
        let work = if mode == BackendMode::Slow { work + SLOW_WORK } else { work };
        let is_other = random.bool();
        if mode == BackendMode::Hanging {
            keep_silent_for(&mut stream.try_clone()?, LONGEST_WAIT);
            recorder.end_attempt(place, AttemptOutcome::Closed);
            return Ok(false);
        }
        if has_ended(stream, work)? {
            recorder.end_attempt(place, AttemptOutcome::Closed);
            return Ok(false);
        }
        let value = wire::backend_reply(&number.text());
        let (bytes, outcome) = match mode {
            BackendMode::Failing => (b"-ERR failed\r\n".to_vec(), AttemptOutcome::Failed),
            BackendMode::Rejecting => (b"-BUSY\r\n".to_vec(), AttemptOutcome::Rejected),
            BackendMode::Resetting if is_other => {
                reset_on_close(stream);
                (Vec::new(), AttemptOutcome::Closed)
            }
            BackendMode::Truncating if is_other => {
                (value[..value.len() / 2].to_vec(), AttemptOutcome::Closed)
            }
            _ => (value, AttemptOutcome::Served),
        };
        // Recorded before it is written, as the gatekeeper may send the next attempt at once.
        recorder.end_attempt(place, outcome);
        (&mut &*stream).write_all(&bytes)?;
        Ok(outcome != AttemptOutcome::Closed)
    }
}

/// Whether the peer closes the connection within this time.
fn has_ended(stream: &TcpStream, time: Duration) -> io::Result<bool> {
    stream.set_read_timeout(Some(time))?;
    match stream.peek(&mut [0]) {
        Ok(count) => Ok(count == 0),
        Err(error) if is_temporary(&error) => Ok(false),
        Err(_) => Ok(true),
    }
}

/// The value `d` of a list of values: the time until the deadline.
fn milliseconds(values: &str) -> Option<Duration> {
    let text = values.split(',').find_map(|value| value.strip_prefix("d="))?;
    text.parse().ok().map(Duration::from_millis)
}
