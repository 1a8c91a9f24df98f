//! The front for the platform's RESP2 protocol: client connections on which clients pipeline commands.
//!
//! It reads a command, hands an operation to the exchange and writes the final answer in the command's turn. No
//! decision is made here. What cannot be used gets an error in its turn; what cannot be told apart any more also ends
//! the socket, once all that came before it has its answer.

mod held;
mod requests;

use exchange::{AnswerBody, Exchange, FinalAnswer, ReadResult, Request, RequestId, StreamReader};
use held::{Held, Holding};
use link::{Connection, Incoming, Listener, locked, sleep, spawn};
use resp::{Malformed, Query};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub use requests::{ClassRule, Rules};

/// Bytes asked of the system in one read.
const READ: usize = 8 * 1024;
/// Operations of one client connection that may wait for answers; more get the busy reply at once.
const MOST_WAITING: usize = 64;
/// Commands of one client connection that may wait for their turn: more is an error, so that the line stays bounded.
const MOST_TURNS: usize = 1024;
/// Bytes of an answer that goes on which wait for the socket at the most, before another piece of it.
const PIECE: usize = 16 * 1024;
/// Bytes of answers that a client may leave unread before it is cut off, and where all clients hold too much together.
const MOST_UNREAD: usize = 256 * 1024;
const LEAST_UNREAD: usize = 16 * 1024;
/// Parts of the memory: for what is read of requests that are not whole, for whole ones with the answers that wait for their
/// turn, and for answers that clients have not taken.
const HALF_PART: usize = 8;
const WHOLE_PART: usize = 4;
const UNREAD_PART: usize = 8;
/// Bytes of a request that is not whole which may always be held: any usual one fits in.
const USUAL: usize = 16 * 1024;
/// Clients send one command at a time. One that sends more than this at once gets its next turn after all others.
const AT_ONCE: usize = 16;
/// How long that takes.
const TURN: Duration = Duration::from_millis(1);
/// A client connection without a request may be closed after this (the protocol); one that never sent any of use is.
const QUIET: Duration = Duration::from_secs(2);
/// A command must be whole this long after it began: a head may take a client 2 s. With the time between two sweeps, what is
/// never whole has its error within the 3 s in which it is owed.
const WHOLE_WITHIN: Duration = Duration::from_millis(2_250);
/// The same, from the connection's start, for one that has never sent a whole command.
const FIRST_WITHIN: Duration = Duration::from_millis(2_400);
/// Clients send their request as soon as they are connected: one that has sent none after this makes room for others when
/// the table is full. Bad clients connect by the hundred and say nothing, or no more than `PING`.
const SILENT: Duration = Duration::from_millis(250);
/// How long a socket that was told its end may take to read that.
const LINGER: Duration = Duration::from_millis(400);
/// After an error nothing more is read from its socket for this long, so that one that repeats it takes little work.
const PENALTY: Duration = Duration::from_millis(20);
/// Between two looks for room in a full table.
const LOOK: Duration = Duration::from_millis(2);

/// What this front passes on and gives back.
pub type RespExchange = Exchange<Query, AnswerBody>;

/// The front with all its sockets.
pub struct Front {
    exchange: Arc<RespExchange>,
    rules: Mutex<Arc<Rules>>,
    most: Box<dyn Fn() -> usize + Send + Sync>,
    /// Bytes of requests that are not whole, of whole ones with the answers that wait for their turn, and of answers that clients
    /// have not taken.
    half: Arc<Held>,
    whole: Arc<Held>,
    unread: Arc<Held>,
    ready: AtomicBool,
    closing: AtomicBool,
    /// Where client connections go on once they are between requests, while nothing is let in here.
    heir: Mutex<Option<Arc<Heir>>>,
    frozen: AtomicBool,
    sockets: Mutex<Table>,
    /// Ids of the requests that are open here.
    open_ids: Mutex<HashSet<Vec<u8>>>,
}

/// Takes a client's connection, with what was read of a request that is not whole, to another process.
pub type Heir = dyn Fn(TcpStream, Vec<u8>) + Send + Sync;

/// Open client connections by the order in which they came.
#[derive(Default)]
struct Table {
    next: u64,
    open: BTreeMap<u64, Arc<ClientConnection>>,
}

/// One client's connection.
struct ClientConnection {
    connection: Connection,
    turns: Mutex<Turns>,
}

/// Commands in the order in which they came.
struct Turns {
    /// The number of the turn at the front.
    first: u64,
    turns: VecDeque<Turn>,
    /// How many of them wait for a final answer.
    waiting: usize,
    /// Since when a command is not whole.
    partial: Option<Instant>,
    /// Bytes of it.
    half: Holding,
    /// Since when no command waits for its turn.
    idle: Instant,
    /// A command has come that can be used.
    spoken: bool,
    /// An operation has come.
    used: bool,
    /// Nothing more is read; the socket ends with the last turn.
    ending: bool,
    /// Room is needed: it ends if it is idle.
    unwanted: bool,
    /// Bytes of answers that wait for the client, when it was last looked at.
    unread: Holding,
    /// Room is needed for others' requests: this one has been half sent for longest.
    too_large: bool,
}

enum Turn {
    Waiting(Option<RequestId>),
    Answered {
        bytes: Vec<u8>,
        _held: Holding,
    },
    /// An answer that is passed on as it comes.
    Passing(StreamReader),
}

/// What to do with a command.
enum Ask {
    Answer(&'static [u8]),
    Error(&'static str),
    Submit(Request<Query>, OpenId),
}

/// An id that is open; closed when the final answer is given or the client has left.
struct OpenId {
    front: Arc<Front>,
    id: Vec<u8>,
    /// The bytes of its request.
    _held: Holding,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        locked(&self.front.open_ids).remove(&self.id);
    }
}

impl ClientConnection {
    fn new(connection: Connection, half: Holding, unread: Holding) -> Arc<Self> {
        let turns = Turns {
            first: 0,
            turns: VecDeque::new(),
            waiting: 0,
            partial: None,
            half,
            idle: Instant::now(),
            spoken: false,
            used: false,
            ending: false,
            unwanted: false,
            unread,
            too_large: false,
        };
        Arc::new(Self { connection, turns: Mutex::new(turns) })
    }

    /// Keeps an answer for its turn. Where the turn is no more the client has left, and the answer with it.
    fn fill(&self, turn: u64, answer: Turn) {
        let mut turns = locked(&self.turns);
        let at = turn.checked_sub(turns.first);
        let place = at.and_then(|at| turns.turns.get_mut(at as usize));
        let unwanted = match place {
            Some(place) => std::mem::replace(place, answer),
            None => answer,
        };
        drop(turns);
        // Dropped with the lock free: a stream tells its destination.
        drop(unwanted);
    }
}

impl Turns {
    /// Whether a command should have become whole by now.
    fn is_late(&self) -> bool {
        let first = !self.spoken && self.idle.elapsed() >= FIRST_WITHIN;
        self.partial.is_some_and(|since| since.elapsed() >= WHOLE_WITHIN || first)
    }

    /// How long it has been without a request; `None` while it has one, or part of one.
    fn idle_for(&self) -> Option<Duration> {
        (self.turns.is_empty() && self.partial.is_none()).then(|| self.idle.elapsed())
    }

    /// Whether it may be closed to make room, and how long it has been idle.
    fn makes_room(&self) -> Option<Duration> {
        self.idle_for().filter(|&idle| idle >= if self.used { QUIET } else { SILENT })
    }
}

/// Why a client connection ends.
enum End {
    /// Its client has gone: nobody waits for anything on it.
    Gone,
    /// It has been between requests for long.
    Quiet,
    /// It was marked as ending: nothing more is taken, and what was taken is answered.
    Last,
    /// Another process goes on with it.
    PassedOn,
    /// This error comes first, in its turn.
    Error(&'static str),
}

impl Front {
    /// A front that takes at most as many sockets as `most` allows at the time, in a process that may hold `memory` bytes.
    pub fn new(
        exchange: Arc<RespExchange>,
        rules: Rules,
        memory: usize,
        most: impl Fn() -> usize + Send + Sync + 'static,
    ) -> Arc<Self> {
        let (most, rules) = (Box::new(most), Mutex::new(Arc::new(rules)));
        Arc::new(Self {
            exchange,
            rules,
            most,
            half: Held::new(memory / HALF_PART),
            whole: Held::new(memory / WHOLE_PART),
            unread: Held::new(memory / UNREAD_PART),
            ready: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            heir: Mutex::default(),
            frozen: AtomicBool::new(false),
            sockets: Mutex::default(),
            open_ids: Mutex::default(),
        })
    }

    /// Holds requests to other rules from now on.
    pub fn set_rules(&self, rules: Rules) {
        *locked(&self.rules) = Arc::new(rules);
    }

    /// From now on `PING` is answered.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Accepts client connections until the door is shut; runs in a coroutine.
    pub fn run(self: &Arc<Self>, door: &Listener) {
        while let Some(connection) = door.accept() {
            // A full table keeps new sockets waiting, and those behind them at the door, until others have made room:
            // closed, they would only come again.
            while locked(&self.sockets).open.len() >= (self.most)() {
                self.make_room(1);
                sleep(LOOK);
            }
            self.admit(connection, Vec::new());
        }
    }

    /// Goes on with a connection that another process has served: it has brought requests, and maybe begun one.
    pub fn adopt(self: &Arc<Self>, connection: Connection, begun: Vec<u8>) {
        let socket = self.admit(connection, begun);
        let mut turns = locked(&socket.turns);
        (turns.spoken, turns.used) = (true, true);
    }

    fn admit(self: &Arc<Self>, connection: Connection, begun: Vec<u8>) -> Arc<ClientConnection> {
        let socket = ClientConnection::new(connection, Holding::of(&self.half), Holding::of(&self.unread));
        let number = {
            let mut sockets = locked(&self.sockets);
            sockets.next += 1;
            let number = sockets.next;
            sockets.open.insert(number, socket.clone());
            number
        };
        let (front, served) = (self.clone(), socket.clone());
        spawn(move || {
            front.serve(&served, begun);
            locked(&front.sockets).open.remove(&number);
        });
        socket
    }

    /// Lets nothing in from now on, and passes each client connection on once it is between requests. Called on the worker, no
    /// request is half taken when it returns.
    pub fn pass_on(&self, heir: Arc<Heir>) {
        *locked(&self.heir) = Some(heir);
        self.frozen.store(true, Ordering::Release);
        self.wake_all();
    }

    /// Reads on where [`Front::pass_on`] has stopped: there is nobody to pass to any more.
    pub fn go_on(&self) {
        self.frozen.store(false, Ordering::Release);
        *locked(&self.heir) = None;
        self.wake_all();
    }

    /// Whether nothing is let in, as another process goes on.
    pub fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::Acquire)
    }

    fn wake_all(&self) {
        for socket in self.open_sockets() {
            socket.connection.wake();
        }
    }

    /// Closes every client connection as soon as it is between requests.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        self.wake_all();
    }

    /// Client connections that are open.
    pub fn open(&self) -> usize {
        self.open_sockets().len()
    }

    /// Ends what says nothing, is never whole or does not leave, and keeps some room; call it a few times a second.
    pub fn sweep(&self) {
        let sockets = self.open_sockets();
        let crowded = self.unread.is_over();
        for socket in &sockets {
            let (stale, over) = {
                let mut turns = locked(&socket.turns);
                let unread = socket.connection.unsent();
                let stuck = crowded && unread > LEAST_UNREAD && unread >= turns.unread.bytes();
                turns.unread.set(unread);
                let half = turns.is_late();
                let silent = !turns.spoken && turns.idle_for().is_some_and(|idle| idle >= QUIET);
                let over = turns.ending && turns.turns.is_empty() && turns.idle.elapsed() >= LINGER;
                (half || silent || turns.ending, over || stuck)
            };
            if over {
                socket.connection.close();
            } else if stale {
                // Woken, it looks at the time by itself.
                socket.connection.wake();
            }
        }
        // A quarter of the table stays free for those who come.
        let most = (self.most)();
        self.make_room(sockets.len().saturating_sub(most - most / 4));
    }

    /// Has so many sockets end that are not in use, those first that have been idle for longest.
    fn make_room(&self, count: usize) {
        if count == 0 {
            return;
        }
        let mut idle: Vec<(Duration, Arc<ClientConnection>)> = Vec::new();
        for socket in self.open_sockets() {
            let span = {
                let turns = locked(&socket.turns);
                let told = turns.ending && turns.turns.is_empty();
                if told { Some(Duration::MAX) } else { turns.makes_room() }
            };
            idle.extend(span.map(|span| (span, socket)));
        }
        idle.sort_by_key(|(span, _)| std::cmp::Reverse(*span));
        for (span, socket) in idle.into_iter().take(count) {
            if span == Duration::MAX && locked(&socket.turns).idle.elapsed() >= LINGER / 4 {
                socket.connection.close();
            } else {
                locked(&socket.turns).unwanted = true;
                socket.connection.wake();
            }
        }
    }

    fn open_sockets(&self) -> Vec<Arc<ClientConnection>> {
        locked(&self.sockets).open.values().filter(|s| !s.connection.is_closed()).cloned().collect()
    }

    /// Reads commands until the client leaves or cannot be understood.
    fn serve(self: &Arc<Self>, socket: &Arc<ClientConnection>, begun: Vec<u8>) {
        match self.read(socket, begun) {
            End::Error(text) => self.end(socket, text),
            End::PassedOn => return,
            End::Last => self.finish(socket),
            End::Quiet | End::Gone => {}
        }
        socket.connection.close();
        let turns = std::mem::take(&mut locked(&socket.turns).turns);
        for turn in turns {
            // Answers that go on end with their turns.
            if let Turn::Waiting(Some(id)) = turn {
                self.exchange.client_gone(id);
            }
        }
    }

    /// Reads and takes commands, `begun` first; returns how the socket ends.
    fn read(self: &Arc<Self>, socket: &Arc<ClientConnection>, begun: Vec<u8>) -> End {
        let mut buffer = begun;
        loop {
            if self.frozen.load(Ordering::Acquire) && self.hand_on(socket, &mut buffer) {
                return End::PassedOn;
            }
            // What has come from a client that has gone since is not begun.
            if socket.connection.is_peer_closed() {
                return End::Gone;
            }
            let (mut at, mut errors, mut commands) = (0, false, 0);
            while !self.frozen.load(Ordering::Acquire) {
                match resp::command(&buffer, at) {
                    Ok(Some(command)) => {
                        let words: Vec<_> = command.words.iter().map(|w| w.start - at..w.end - at).collect();
                        errors |= !self.take(socket, &buffer[at..command.end], &words);
                        at = command.end;
                        commands += 1;
                    }
                    Ok(None) => break,
                    // What follows cannot be told apart any more.
                    Err(Malformed(text)) => return End::Error(text),
                }
            }
            buffer.drain(..at);
            if buffer.is_empty() && buffer.capacity() > 4 * READ {
                buffer = Vec::new();
            }
            {
                let mut turns = locked(&socket.turns);
                let since = turns.partial.filter(|_| at == 0).unwrap_or_else(Instant::now);
                turns.partial = (!buffer.is_empty()).then_some(since);
                turns.half.set(buffer.len());
                // One that has become whole in time is not owed an error.
                turns.too_large &= turns.partial.is_some();
                if turns.turns.len() > MOST_TURNS {
                    return End::Error("too many commands at once");
                }
                // A client that always has another one on its way would never be found between requests.
                if self.closing.load(Ordering::Acquire) && turns.partial.is_none() {
                    turns.end();
                    return End::Last;
                }
            }
            if errors {
                sleep(PENALTY);
            } else if commands > AT_ONCE {
                sleep(TURN);
            }
            if buffer.len() >= USUAL && self.half.is_over() {
                self.make_room_for_half();
                let waits = |turns: &Turns| !turns.too_large && !turns.is_late();
                while self.half.is_over() && waits(&locked(&socket.turns)) && !socket.connection.is_closed() {
                    sleep(LOOK);
                }
            }
            if locked(&socket.turns).too_large {
                return End::Error("no room for so long a command");
            }
            loop {
                match socket.connection.receive(&mut buffer, READ) {
                    Ok(Incoming::Bytes(_)) => break,
                    Ok(Incoming::Woken) if self.frozen.load(Ordering::Acquire) => break,
                    // Only here, where nothing is left to read, is it sure that no request has come in unseen.
                    Ok(Incoming::Woken) => {
                        if let Some(end) = self.look(socket) {
                            return end;
                        }
                    }
                    Ok(Incoming::End) | Err(_) => return End::Gone,
                }
            }
        }
    }

    /// Has the socket end whose request has been half sent for longest, among those that hold much.
    fn make_room_for_half(&self) {
        let since = |socket: &Arc<ClientConnection>| {
            let turns = locked(&socket.turns);
            turns.partial.filter(|_| turns.half.bytes() >= USUAL && !turns.too_large)
        };
        let sockets = self.open_sockets();
        let oldest = sockets.iter().filter_map(|s| Some((since(s)?, s))).min_by_key(|(since, _)| *since);
        if let Some((_, socket)) = oldest {
            locked(&socket.turns).too_large = true;
            socket.connection.wake();
        }
    }

    /// Waits until all that was taken here has its answer, then passes the connection on. What a client sends meanwhile stays
    /// unread for whoever goes on. Tells whether it is passed on; it is not where the front reads on, or the client left.
    fn hand_on(&self, socket: &ClientConnection, buffer: &mut Vec<u8>) -> bool {
        loop {
            let heir = locked(&self.heir).clone();
            let Some(heir) = heir else { return false };
            if locked(&socket.turns).turns.is_empty() && socket.connection.unsent() == 0 {
                let Ok(handle) = socket.connection.try_clone_socket() else { return false };
                heir(handle, std::mem::take(buffer));
                socket.connection.release();
                return true;
            }
            if socket.connection.flush_and_wait().is_err() || socket.connection.is_peer_closed() {
                return false;
            }
        }
    }

    /// What a socket that was woken should do; `None` for going on.
    fn look(&self, socket: &ClientConnection) -> Option<End> {
        let mut turns = locked(&socket.turns);
        if self.closing.load(Ordering::Acquire) && turns.partial.is_none() {
            turns.end();
            return Some(End::Last);
        }
        if turns.is_late() {
            return Some(End::Error("the command did not become whole"));
        }
        if turns.too_large {
            return Some(End::Error("no room for so long a command"));
        }
        let unwanted = std::mem::take(&mut turns.unwanted) && turns.makes_room().is_some();
        let silent = !turns.spoken && turns.idle_for().is_some_and(|idle| idle >= QUIET);
        ((unwanted || silent) && socket.connection.unsent() == 0).then_some(End::Quiet)
    }

    /// Says an error in its turn, once all that was taken before has its answer, and ends the socket. What still comes
    /// is not looked at.
    fn end(&self, socket: &ClientConnection, text: &str) {
        let turn = {
            let mut turns = locked(&socket.turns);
            turns.end();
            turns.push()
        };
        self.answer(socket, turn, format!("-ERR {text}\r\n").into_bytes());
        self.finish(socket);
    }

    /// Takes nothing more, has all that was taken answered, and then ends the socket so that no answer is lost.
    fn finish(&self, socket: &ClientConnection) {
        // Read on for a while, to see the client leave; a client that sends without end is left to the system.
        let mut unread = Vec::new();
        for _ in 0..8 {
            if locked(&socket.turns).turns.is_empty() {
                break;
            }
            match socket.connection.receive(&mut unread, READ) {
                Ok(Incoming::Bytes(_) | Incoming::Woken) => unread.clear(),
                Ok(Incoming::End) | Err(_) => return,
            }
        }
        while !locked(&socket.turns).turns.is_empty() {
            if socket.connection.is_peer_closed() || socket.connection.flush_and_wait().is_err() {
                return;
            }
        }
        socket.connection.close_gracefully();
    }

    /// Takes a command in its turn; tells whether it could be used.
    fn take(
        self: &Arc<Self>,
        socket: &Arc<ClientConnection>,
        raw: &[u8],
        words: &[std::ops::Range<usize>],
    ) -> bool {
        let (turn, crowded) = {
            let mut turns = locked(&socket.turns);
            (turns.push(), turns.waiting >= MOST_WAITING || self.whole.is_over())
        };
        let ask = self.ask(raw, words);
        {
            let mut turns = locked(&socket.turns);
            turns.spoken |= !matches!(ask, Ask::Error(_));
            turns.used |= matches!(ask, Ask::Submit(..));
        }
        match ask {
            Ask::Answer(bytes) => self.answer(socket, turn, bytes.to_vec()),
            Ask::Error(text) => {
                self.answer(socket, turn, format!("-ERR {text}\r\n").into_bytes());
                return false;
            }
            Ask::Submit(operation, _) if crowded => {
                self.exchange.count_rejection(operation.class);
                self.answer(socket, turn, b"-BUSY\r\n".to_vec());
            }
            Ask::Submit(operation, open_id) => {
                locked(&socket.turns).waiting += 1;
                let (front, place) = (self.clone(), socket.clone());
                let reply = move |answer| {
                    // Closed before the answer goes out: then the client may use its id anew.
                    drop(open_id);
                    locked(&place.turns).waiting -= 1;
                    match answer {
                        FinalAnswer::Served(AnswerBody::Stream(stream)) => front.pass(&place, turn, stream),
                        answer => front.answer(&place, turn, answer_bytes(answer)),
                    }
                };
                let id = self.exchange.submit(operation, Box::new(reply));
                let mut turns = locked(&socket.turns);
                let at = turn.checked_sub(turns.first);
                if let Some(Turn::Waiting(place)) = at.and_then(|at| turns.turns.get_mut(at as usize)) {
                    *place = Some(id);
                }
            }
        }
        true
    }

    /// Keeps an answer for its turn, and writes those whose turn has come.
    fn answer(&self, socket: &ClientConnection, turn: u64, bytes: Vec<u8>) {
        let _held = Holding::new(&self.whole, bytes.len());
        socket.fill(turn, Turn::Answered { bytes, _held });
        self.write(socket);
    }

    /// Keeps an answer that goes on for its turn, and writes what may be written of it whenever there is more.
    fn pass(self: &Arc<Self>, socket: &Arc<ClientConnection>, turn: u64, stream: StreamReader) {
        let write = |front: &Arc<Self>, socket: &Arc<ClientConnection>| {
            let (front, socket) = (Arc::downgrade(front), Arc::downgrade(socket));
            move || {
                if let (Some(front), Some(socket)) = (front.upgrade(), socket.upgrade()) {
                    front.write(&socket);
                }
            }
        };
        stream.notify_with(Box::new(write(self, socket)));
        socket.connection.on_flushed(write(self, socket));
        socket.fill(turn, Turn::Passing(stream));
        self.write(socket);
    }

    /// Writes the answers whose turn has come.
    fn write(&self, socket: &ClientConnection) {
        let mut turns = locked(&socket.turns);
        let mut whole = Vec::new();
        let mut broken = false;
        loop {
            match turns.turns.front_mut() {
                Some(Turn::Answered { bytes, .. }) if whole.is_empty() => whole = std::mem::take(bytes),
                Some(Turn::Answered { bytes, .. }) => whole.extend_from_slice(bytes),
                // What waits for the socket goes first; it is written on when that is gone.
                Some(Turn::Passing(_)) if whole.len() + socket.connection.unsent() >= PIECE => break,
                Some(Turn::Passing(stream)) => match stream.read(PIECE) {
                    ReadResult::Bytes(bytes) => {
                        whole.extend_from_slice(&bytes);
                        continue;
                    }
                    ReadResult::Pending => break,
                    ReadResult::End => {}
                    ReadResult::Broken => {
                        broken = true;
                        break;
                    }
                },
                Some(Turn::Waiting(_)) | None => break,
            }
            turns.turns.pop_front();
            turns.first += 1;
        }
        if broken {
            // The client can tell by the end that its value is not whole; nothing else may follow on this connection.
            let _ = socket.connection.send(&whole);
            drop(turns);
            socket.connection.close();
            return;
        }
        if whole.is_empty() && !turns.turns.is_empty() || socket.connection.is_closed() {
            return;
        }
        // Sent before the turns are free, so that no later answer overtakes.
        let sent = socket.connection.send(&whole);
        let unread = socket.connection.unsent();
        let before = turns.unread.bytes();
        turns.unread.set(unread);
        let mut waits_for_this = self.closing.load(Ordering::Acquire) || self.frozen.load(Ordering::Acquire);
        if turns.turns.is_empty() {
            turns.idle = Instant::now();
            waits_for_this |= turns.ending;
        }
        drop(turns);
        let crowded = before > 0 && unread > LEAST_UNREAD && self.unread.is_over();
        if sent.is_err() || unread > MOST_UNREAD || crowded {
            socket.connection.close();
        } else if waits_for_this {
            socket.connection.wake();
        }
    }

    /// What a command asks for. `raw` is the command alone, and its words lie in it.
    fn ask(self: &Arc<Self>, raw: &[u8], words: &[std::ops::Range<usize>]) -> Ask {
        let name = words.first().map_or(&[][..], |w| &raw[w.clone()]);
        if name.eq_ignore_ascii_case(b"PING") {
            let ready = self.ready.load(Ordering::Acquire);
            return Ask::Answer(if ready { b"+PONG\r\n" } else { b"-ERR not ready\r\n" });
        }
        if name.eq_ignore_ascii_case(b"CLIENT") || name.eq_ignore_ascii_case(b"SELECT") {
            return Ask::Answer(b"+OK\r\n");
        }
        let rules = locked(&self.rules).clone();
        let (operation, id) = match rules.operation(raw, words) {
            Ok(found) => found,
            Err(text) => return Ask::Error(text),
        };
        if !locked(&self.open_ids).insert(id.clone()) {
            return Ask::Error("the id is that of an open request");
        }
        Ask::Submit(
            operation,
            OpenId { front: self.clone(), id, _held: Holding::new(&self.whole, raw.len()) },
        )
    }
}

impl Turns {
    /// From now on no command is taken.
    fn end(&mut self) {
        self.ending = true;
        self.partial = None;
        // What was read of a request is given back with the reader's buffer.
        self.half.set(0);
        self.idle = Instant::now();
    }

    /// A new turn at the end; returns its number.
    fn push(&mut self) -> u64 {
        self.turns.push_back(Turn::Waiting(None));
        self.first + self.turns.len() as u64 - 1
    }
}

fn answer_bytes(answer: FinalAnswer<AnswerBody>) -> Vec<u8> {
    match answer {
        FinalAnswer::Served(AnswerBody::Complete(value)) => value,
        // Streams are passed on before it comes to this.
        FinalAnswer::Served(AnswerBody::Stream(_)) => Vec::new(),
        FinalAnswer::Rejected { retry_after: 0, .. } => b"-BUSY\r\n".to_vec(),
        FinalAnswer::Rejected { retry_after, .. } => {
            format!("-BUSY {}\r\n", retry_after.div_ceil(1000)).into_bytes()
        }
        FinalAnswer::Failed(_) => b"-ERR failed\r\n".to_vec(),
    }
}
