//! The destination side: a pool of connections to each destination and the attempts on them.
//!
//! A connection carries one attempt at a time, since answers come in order and closing is the only way to give up.
//! Each connection has one coroutine that always reads, so an idle one that is closed by its destination leaves the
//! pool at once.

use exchange::{
    Attempt, AttemptEnd, AttemptId, Backends, Exchange, StreamBudget, StreamEnd, StreamReader, StreamWriter,
};
use link::{Incoming, Link, locked, spawn};
use policy::{BackendId, BackendState, ListKind, Micros, Outcome};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::time::{Duration, Instant};

mod http;
mod resp;

pub use crate::http::HttpDestination;
pub use crate::resp::RespDestination;

/// Bytes asked of the system in one read.
const READ: usize = 8 * 1024;
/// A buffer larger than this is given back once its answer is through.
const KEPT_BUFFER: usize = 32 * 1024;
/// A connection rests this long after an answer before it carries the next attempt. Bytes that come behind an answer, a second copy
/// or noise, would else be read as the answer to the next request; they come some milliseconds late (the operators' page).
const REST: Duration = Duration::from_millis(20);
/// The same where a quarter of all connections is open already: at thousands of requests a second each would else need one of its own.
const SHORT_REST: Duration = Duration::from_millis(5);
/// A long answer that does not move for this long has been forgotten by its destination or its client. Peers take seconds.
const STALLED: Duration = Duration::from_secs(15);
/// The most bytes that stand behind the value of a long answer.
const LARGEST_TAIL: usize = 64 * 1024;

/// What came of the bytes at hand.
#[derive(Debug)]
pub enum Reading<A> {
    /// More must come.
    More,
    /// An answer is whole.
    Whole {
        /// The bytes that it took.
        used: usize,
        /// The connection may carry another attempt.
        keep: bool,
        /// How the attempt ended.
        end: AttemptEnd<A>,
    },
    /// A long answer has begun: it is passed on as it comes.
    Long(Long<A>),
    /// No valid answer can come any more.
    Malformed(&'static str),
}

/// A long answer that has begun.
#[derive(Debug)]
pub struct Long<A> {
    /// The bytes before its value.
    pub used: usize,
    /// What the client gets before the value.
    pub head: Vec<u8>,
    /// The bytes of the value.
    pub length: usize,
    /// The items that stand behind it.
    pub behind: usize,
    /// Makes the stream an answer.
    pub answer: fn(StreamReader) -> A,
}

/// How destinations are spoken to.
pub trait Protocol: Send + Sync + 'static {
    /// What fronts pass on.
    type Query: Send + Sync + 'static;
    /// What destinations answer.
    type Answer: Send + 'static;
    /// Appends the request of an attempt whose answer is waited for so long.
    fn write(&self, query: &Self::Query, to: SocketAddr, time_left: Micros, out: &mut Vec<u8>);
    /// A destination has answered well. What has no use for that does nothing.
    fn served(&self, _backend: BackendId) {}
    /// Looks at what stands behind the value of a long answer: the bytes that it took and what of them belongs to the value, or
    /// `None` where more must come.
    ///
    /// # Errors
    ///
    /// It is not sound, and so the value may not be.
    fn after_value(
        &self,
        _behind: usize,
        _buffer: &[u8],
    ) -> Result<Option<(usize, &'static [u8])>, &'static str> {
        Err("no long answers here")
    }
    /// Looks for an answer at the start of the buffer; `end` tells that no more bytes will come.
    fn read(&self, query: &Self::Query, buffer: &[u8], end: bool) -> Reading<Self::Answer>;
}

/// Bounds and spans of the pools.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A connection not made by then has failed.
    pub connect: Duration,
    /// An idle connection is closed after this, before its destination does so.
    pub idle: Duration,
    /// Connections to all destinations together.
    pub connections: usize,
    /// The most bytes of one answer that is held whole.
    pub answer: usize,
    /// The bytes that all answers may hold together which are passed on as they come.
    pub streams: usize,
}

/// A destination as discovery tells of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// Its number.
    pub id: BackendId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub state: BackendState,
    /// Its last start: connections from before are dead.
    pub started: Micros,
}

/// The connections to all destinations.
pub struct Pools<P: Protocol> {
    me: Weak<Self>,
    protocol: P,
    limits: Limits,
    /// How long a connection may take to be made, and to be idle: new settings may change both.
    spans: Mutex<(Duration, Duration)>,
    exchange: OnceLock<Arc<Exchange<P::Query, P::Answer>>>,
    state: Mutex<Table<P::Query>>,
    /// Attempts whose last byte the system has taken.
    written: AtomicU64,
    budget: Arc<StreamBudget>,
}

struct Table<Q> {
    pools: HashMap<BackendId, Pool<Q>>,
    busy: HashMap<AttemptId, Busy<Q>>,
    /// Connections that are open or being made.
    open: usize,
    /// Backends that operators have taken out, listed or not: they get nothing new.
    held: HashSet<BackendId>,
    /// Another program takes this one's place: no connection is kept.
    retired: bool,
    /// Connections that bring long answers.
    streaming: Vec<Weak<Connection<Q>>>,
}

struct Pool<Q> {
    place: Place,
    /// Idle connections, the one used last at the end.
    idle: Vec<(Arc<Connection<Q>>, Instant)>,
}

enum Busy<Q> {
    Connecting,
    On(Arc<Connection<Q>>),
}

/// A connection for an attempt, or none where it must be made, and its destination's address.
type Carrier<Q> = (Option<Arc<Connection<Q>>>, SocketAddr);

struct Connection<Q> {
    link: Link,
    to: SocketAddr,
    job: Mutex<Option<Job<Q>>>,
}

/// The attempt on a connection.
struct Job<Q> {
    attempt: AttemptId,
    query: Arc<Q>,
    /// Its last byte is with the system.
    written: bool,
}

impl<P: Protocol> Pools<P> {
    /// Pools that know no destination yet.
    pub fn new(protocol: P, limits: Limits) -> Arc<Self> {
        let (pools, busy, held) = Default::default();
        let state = Mutex::new(Table { pools, busy, open: 0, held, retired: false, streaming: Vec::new() });
        let budget = StreamBudget::new(limits.streams);
        let spans = Mutex::new((limits.connect, limits.idle));
        let (exchange, written) = (OnceLock::new(), AtomicU64::new(0));
        Arc::new_cyclic(|me| Self {
            me: me.clone(),
            protocol,
            limits,
            spans,
            exchange,
            state,
            written,
            budget,
        })
    }

    /// How destinations are spoken to.
    pub fn protocol(&self) -> &P {
        &self.protocol
    }

    /// Other spans from now on, for connections that are made or swept.
    pub fn set_spans(&self, connect: Duration, idle: Duration) {
        *locked(&self.spans) = (connect, idle);
    }

    /// Names the exchange that hears how attempts end.
    pub fn connect(&self, exchange: Arc<Exchange<P::Query, P::Answer>>) {
        // Connected twice, the first stays.
        let _ = self.exchange.set(exchange);
    }

    fn exchange(&self) -> &Exchange<P::Query, P::Answer> {
        self.exchange.get().expect("connect comes before any attempt")
    }

    /// Takes in news of the destinations. This must come before the exchange hears of them.
    pub fn listed(&self, kind: ListKind, places: &[Place]) {
        let mut state = locked(&self.state);
        if matches!(kind, ListKind::Cached | ListKind::Full) {
            state.pools.values_mut().for_each(|p| p.place.state = BackendState::Gone);
        }
        for place in places {
            match state.pools.get_mut(&place.id) {
                Some(pool) => {
                    let moved = pool.place.address != place.address || pool.place.started != place.started;
                    pool.place = place.clone();
                    if moved {
                        close_idle(pool);
                    }
                }
                None => {
                    state.pools.insert(place.id, Pool { place: place.clone(), idle: Vec::new() });
                }
            }
        }
        state.pools.values_mut().filter(|p| p.place.state != BackendState::Ready).for_each(close_idle);
        state.pools.retain(|_, p| p.place.state != BackendState::Gone);
    }

    /// Operators take a destination out, or call it back. One that is out gets nothing new from now on, also not what was
    /// decided before; what it was sent goes on. This must come before the exchange hears of it.
    pub fn hold(&self, destination: BackendId, held: bool) {
        let mut state = locked(&self.state);
        let Table { pools, held: all, .. } = &mut *state;
        if held {
            all.insert(destination);
        } else {
            all.remove(&destination);
        }
        // What is idle may be from before a restart.
        if let Some(pool) = pools.get_mut(&destination) {
            close_idle(pool);
        }
    }

    /// Keeps no connection that carries nothing, while another program takes this one's place, or keeps them again.
    pub fn retire(&self, retired: bool) {
        let mut state = locked(&self.state);
        state.retired = retired;
        state.pools.values_mut().filter(|_| retired).for_each(close_idle);
    }

    /// Attempts that were written whole.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Closes connections that have been idle for long; call it now and then.
    pub fn sweep(&self) {
        let (now, idle) = (Instant::now(), locked(&self.spans).1);
        for pool in locked(&self.state).pools.values_mut() {
            pool.idle.retain(|(connection, since)| {
                let keep = now.duration_since(*since) < idle;
                if !keep {
                    connection.link.close();
                }
                keep
            });
        }
        // Each looks by itself whether it still moves.
        let mut state = locked(&self.state);
        state.streaming.retain(|c| c.upgrade().is_some_and(|c| !c.link.is_closed()));
        state.streaming.iter().filter_map(Weak::upgrade).for_each(|c| c.link.wake());
    }

    /// Connections that are open or being made.
    pub fn open(&self) -> usize {
        locked(&self.state).open
    }

    /// An idle connection for this attempt, or where to make a new one; `None` where neither can be had.
    fn place_for(&self, attempt: &Attempt<P::Query>) -> Option<Carrier<P::Query>> {
        let mut state = locked(&self.state);
        let table = &mut *state;
        if table.held.contains(&attempt.backend) {
            return None;
        }
        let pool = table.pools.get_mut(&attempt.backend)?;
        let address = pool.place.address;
        // The one used last that has rested. What has news for nobody speaks out of turn or has ended: its own coroutine
        // closes it when it comes to that.
        let (now, short) = (Instant::now(), 4 * table.open >= self.limits.connections);
        let rest = if short { SHORT_REST } else { REST };
        let rested =
            |idle: &[(_, Instant)]| idle.partition_point(|(_, since)| now.duration_since(*since) >= rest);
        while let Some(at) = rested(&pool.idle).checked_sub(1) {
            let (connection, _) = pool.idle.remove(at);
            if !connection.link.is_closed() && !connection.link.has_news() {
                table.busy.insert(attempt.id, Busy::On(connection.clone()));
                return Some((Some(connection), address));
            }
            connection.link.close();
        }
        if table.open >= self.limits.connections {
            // Another destination's idle connection makes room.
            let oldest = table.pools.values_mut().filter(|p| !p.idle.is_empty()).min_by_key(|p| p.idle[0].1);
            oldest?.idle.remove(0).0.link.close();
        }
        table.open += 1;
        table.busy.insert(attempt.id, Busy::Connecting);
        Some((None, address))
    }

    /// Opens a connection, makes the attempt on it if it is still wanted, and serves the connection.
    fn run_connection(&self, attempt: Attempt<P::Query>, to: SocketAddr) {
        let (begun, connect) = (Instant::now(), locked(&self.spans).0);
        let link = Link::connect(to, connect);
        let connection = link.map(|link| Arc::new(Connection { link, to, job: Mutex::new(None) }));
        let wanted = {
            let mut state = locked(&self.state);
            // A destination that drained or went while the connection was made gets nothing new.
            let ready =
                state.pools.get(&attempt.backend).is_some_and(|p| p.place.state == BackendState::Ready)
                    && !state.held.contains(&attempt.backend);
            let wanted = state.busy.remove(&attempt.id).is_some();
            // The module counts on it that what has not begun by then never will.
            let late =
                begun.elapsed() > connect || begun.elapsed().as_micros() as Micros >= attempt.max_start_delay;
            match &connection {
                Ok(connection) if wanted && ready && !late => {
                    state.busy.insert(attempt.id, Busy::On(connection.clone()));
                    None
                }
                _ => Some(wanted),
            }
        };
        match (connection, wanted) {
            (Ok(connection), None) => {
                let time_left = attempt.time_left.saturating_sub(begun.elapsed().as_micros() as Micros);
                if self.begin(&connection, &attempt, to, time_left).is_err() {
                    connection.link.close();
                    if locked(&self.state).busy.remove(&attempt.id).is_some() {
                        self.exchange()
                            .attempt_ended(attempt.id, AttemptEnd::without_answer(Outcome::ConnectFailed));
                    }
                }
                self.serve(BackendId(attempt.backend.0), &connection);
            }
            (Ok(connection), Some(wanted)) => {
                if wanted {
                    self.exchange()
                        .attempt_ended(attempt.id, AttemptEnd::without_answer(Outcome::ConnectFailed));
                    connection.link.close();
                } else {
                    self.keep(BackendId(attempt.backend.0), &connection);
                }
                self.serve(BackendId(attempt.backend.0), &connection);
            }
            (Err(_), wanted) => {
                locked(&self.state).open -= 1;
                if wanted == Some(true) {
                    self.exchange()
                        .attempt_ended(attempt.id, AttemptEnd::without_answer(Outcome::ConnectFailed));
                }
            }
        }
    }

    /// Writes the request of an attempt. Where nothing could be written, the connection carries nothing.
    fn begin(
        &self,
        connection: &Connection<P::Query>,
        attempt: &Attempt<P::Query>,
        to: SocketAddr,
        time_left: Micros,
    ) -> std::io::Result<()> {
        let mut bytes = Vec::with_capacity(512);
        self.protocol.write(&attempt.payload, to, time_left, &mut bytes);
        // Held while the bytes go out, so that the reader finds either no job or one that was begun.
        let mut job = locked(&connection.job);
        let written = connection.link.send(&bytes)?;
        self.written.fetch_add(u64::from(written), Ordering::Relaxed);
        *job = Some(Job { attempt: attempt.id, query: attempt.payload.clone(), written });
        Ok(())
    }

    /// Reads answers until the connection ends.
    fn serve(&self, destination: BackendId, connection: &Arc<Connection<P::Query>>) {
        let mut buffer = Vec::new();
        loop {
            let incoming = connection.link.receive(&mut buffer, READ);
            let end = !matches!(incoming, Ok(Incoming::Bytes(_) | Incoming::Woken));
            // Without a job nothing was asked: the destination has closed, or speaks out of turn.
            let (id, query) = match &mut *locked(&connection.job) {
                Some(job) => {
                    if !job.written && connection.link.unsent() == 0 {
                        job.written = true;
                        self.written.fetch_add(1, Ordering::Relaxed);
                    }
                    (job.attempt, job.query.clone())
                }
                None => break,
            };
            let reading =
                if incoming.is_err() { Reading::More } else { self.protocol.read(&query, &buffer, end) };
            match reading {
                Reading::Whole { used, keep, end: attempt_end } => {
                    let wanted = locked(&self.state).busy.remove(&id).is_some();
                    *locked(&connection.job) = None;
                    let keep =
                        wanted && keep && !end && used == buffer.len() && connection.link.unsent() == 0;
                    buffer.clear();
                    if buffer.capacity() > KEPT_BUFFER {
                        buffer = Vec::new();
                    }
                    if keep {
                        self.keep(destination, connection);
                    } else {
                        connection.link.close();
                    }
                    if attempt_end.outcome == Outcome::Ok {
                        self.protocol.served(destination);
                    }
                    self.exchange().attempt_ended(id, attempt_end);
                }
                Reading::Long(long) => {
                    let wanted = locked(&self.state).busy.remove(&id).is_some();
                    *locked(&connection.job) = None;
                    if wanted {
                        buffer.drain(..long.used);
                        let kept = self.pass_on(id, connection, &mut buffer, &long);
                        buffer = Vec::new();
                        if kept {
                            self.protocol.served(destination);
                            self.keep(destination, connection);
                            continue;
                        }
                    }
                    break;
                }
                Reading::More if !end && buffer.len() <= self.limits.answer => {}
                _ => break,
            }
        }
        // Broken before the request's last byte was written: it never ran. After that it may have.
        let outcome = if connection.link.unsent() > 0 { Outcome::ConnectFailed } else { Outcome::Reset };
        connection.link.close();
        {
            let mut state = locked(&self.state);
            state.open -= 1;
            if let Some(pool) = state.pools.get_mut(&destination) {
                pool.idle.retain(|(idle, _)| !Arc::ptr_eq(idle, connection));
            }
        }
        // Closed before this look, so an attempt that another thread began here meanwhile is not left without an end.
        let job = locked(&connection.job).take();
        if let Some(job) = job {
            locked(&self.state).busy.remove(&job.attempt);
            self.exchange().attempt_ended(job.attempt, AttemptEnd::without_answer(outcome));
        }
    }

    /// Passes a long answer on as it comes, at the pace of its client. For the module the attempt ends with the first bytes. Tells
    /// whether the answer is whole and the connection good for another attempt.
    fn pass_on(
        &self,
        id: AttemptId,
        connection: &Arc<Connection<P::Query>>,
        buffer: &mut Vec<u8>,
        long: &Long<P::Answer>,
    ) -> bool {
        let waker = Arc::downgrade(connection);
        let room = move || {
            if let Some(connection) = waker.upgrade() {
                connection.link.wake();
            }
        };
        let (stream, out) = exchange::open_stream(&self.budget, Box::new(room));
        locked(&self.state).streaming.push(Arc::downgrade(connection));
        stream.write(&long.head);
        let answer = Some((long.answer)(out));
        let end = AttemptEnd { outcome: Outcome::Ok, answer, load: Vec::new(), is_streaming: true };
        self.exchange().attempt_ended(id, end);
        let whole = self.pass_bytes(connection, buffer, (long.length, long.behind), &stream);
        let left = stream.reader_is_gone();
        if whole {
            stream.finish();
        } else {
            drop(stream);
        }
        let end = match (left, whole) {
            (true, _) => StreamEnd::ClientGone,
            (false, true) => StreamEnd::Complete,
            (false, false) => StreamEnd::Broken,
        };
        self.exchange().stream_ended(id, end);
        whole && buffer.is_empty() && connection.link.unsent() == 0
    }

    /// Moves the bytes of a value, and then looks at what stands behind it. Tells whether all was sound.
    fn pass_bytes(
        &self,
        connection: &Connection<P::Query>,
        buffer: &mut Vec<u8>,
        (mut length, behind): (usize, usize),
        stream: &StreamWriter,
    ) -> bool {
        let mut moved = Instant::now();
        loop {
            if length > 0 {
                let piece = length.min(buffer.len()).min(stream.capacity());
                if piece > 0 {
                    stream.write(&buffer[..piece]);
                    buffer.drain(..piece);
                    (length, moved) = (length - piece, Instant::now());
                }
            } else {
                match self.protocol.after_value(behind, buffer) {
                    Ok(Some((used, last))) => {
                        stream.write(last);
                        buffer.drain(..used);
                        return true;
                    }
                    Ok(None) => {}
                    Err(_) => return false,
                }
            }
            if stream.reader_is_gone() || moved.elapsed() >= STALLED || buffer.len() > LARGEST_TAIL + READ {
                return false;
            }
            if length > 0 && !buffer.is_empty() {
                // The client is slow: woken when it has taken some.
                connection.link.wait();
                if connection.link.is_closed() {
                    return false;
                }
            } else {
                match connection.link.receive(buffer, READ) {
                    Ok(Incoming::Bytes(_) | Incoming::Woken) => {}
                    Ok(Incoming::End) | Err(_) => return false,
                }
            }
        }
    }

    fn keep(&self, destination: BackendId, connection: &Arc<Connection<P::Query>>) {
        let mut state = locked(&self.state);
        let fits = |p: &&mut Pool<P::Query>| {
            p.place.state == BackendState::Ready && p.place.address == connection.to
        };
        let retired = state.retired;
        match state.pools.get_mut(&destination).filter(fits).filter(|_| !retired) {
            Some(pool) => pool.idle.push((connection.clone(), Instant::now())),
            None => connection.link.close(),
        }
    }
}

fn close_idle<Q>(pool: &mut Pool<Q>) {
    pool.idle.drain(..).for_each(|(connection, _)| connection.link.close());
}

impl<P: Protocol> Backends<P::Query> for Pools<P> {
    fn start(&self, attempt: Attempt<P::Query>) {
        loop {
            match self.place_for(&attempt) {
                Some((Some(connection), to)) => {
                    if self.begin(&connection, &attempt, to, attempt.time_left).is_ok() {
                        return;
                    }
                    // It broke before anything was written, so the attempt never ran and another may carry it.
                    connection.link.close();
                    if locked(&self.state).busy.remove(&attempt.id).is_none() {
                        return;
                    }
                }
                Some((None, to)) => {
                    if let Some(me) = self.me.upgrade() {
                        spawn(move || me.run_connection(attempt, to));
                    }
                    return;
                }
                None => {
                    return self
                        .exchange()
                        .attempt_ended(attempt.id, AttemptEnd::without_answer(Outcome::ConnectFailed));
                }
            }
        }
    }

    fn withdraw(&self, attempt: AttemptId) {
        let connecting = {
            let mut state = locked(&self.state);
            let connecting = matches!(state.busy.get(&attempt), Some(Busy::Connecting));
            connecting && state.busy.remove(&attempt).is_some()
        };
        if connecting {
            self.exchange().attempt_ended(attempt, AttemptEnd::without_answer(Outcome::Cancelled));
        }
    }

    fn cancel(&self, attempt: AttemptId) {
        let busy = locked(&self.state).busy.remove(&attempt);
        if let Some(Busy::On(connection)) = busy {
            *locked(&connection.job) = None;
            connection.link.close();
        }
    }
}
