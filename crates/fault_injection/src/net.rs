//! Links between parties. All that one sends to another passes here, and each ordered pair can be spoilt alone.

use std::collections::{BinaryHeap, HashMap, HashSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// The most bytes taken at once: a slow link is slow in steps of this.
const CHUNK: usize = 16 * 1024;
/// A lost chunk of a stream comes again after this, and after its doubles, as in TCP (RFC 6298 has 1 s at first, systems 0.2 s).
const AGAIN: Duration = Duration::from_millis(200);
/// More loss than this would keep a chunk for ever.
const MOST_LOSS: f64 = 0.9;
/// Between two looks of who waits at whether the link is closed or the site has ended.
const LOOK: Duration = Duration::from_millis(250);
/// Connections that the system takes in for a listener that takes none: std's own number ...
const BACKLOG: i32 = 128;
/// ... and so many fill it while its link is cut; one more than the system keeps for a backlog of 0, and one that the listener
/// itself still takes.
const FILL: usize = 4;
/// One that comes up at all on loopback does so within this.
const COMES_UP: Duration = Duration::from_millis(50);
/// The most datagrams on their way; what comes beyond is dropped.
const MOST_ON_THE_WAY: usize = 65_536;

/// How the link from one party to another is, in that direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quality {
    /// Nothing passes and nothing is said.
    pub cut: bool,
    /// New connections are ended at once, and open ones were.
    pub closed: bool,
    /// Of a stream: the share of chunks in whose middle the connection is reset.
    pub reset: f64,
    /// The share of datagrams that vanish, and of chunks that come late.
    pub loss: f64,
    /// The share of datagrams that come twice.
    pub repeat: f64,
    /// The share of datagrams that are overtaken by those behind them.
    pub reorder: f64,
    /// On the way for so long ...
    pub delay: Duration,
    /// ... and up to this longer, by chance.
    pub jitter: Duration,
    /// Bytes a second; 0 means no bound.
    pub rate: u64,
}

impl Quality {
    /// Both at once.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Self {
            cut: self.cut || other.cut,
            closed: self.closed || other.closed,
            reset: either(self.reset, other.reset),
            loss: either(self.loss, other.loss),
            repeat: either(self.repeat, other.repeat),
            reorder: either(self.reorder, other.reorder),
            delay: self.delay + other.delay,
            jitter: self.jitter + other.jitter,
            rate: match (self.rate, other.rate) {
                (0, rate) | (rate, 0) => rate,
                (a, b) => a.min(b),
            },
        }
    }

    /// How long something of this size is on the way.
    fn span(&self, bytes: usize, random: &mut fastrand::Rng) -> Duration {
        let transfer = if self.rate > 0 { bytes as f64 / self.rate as f64 } else { 0.0 };
        self.delay + self.jitter.mul_f64(random.f64()) + Duration::from_secs_f64(transfer)
    }
}

/// A party, by number.
pub type Party = usize;

/// How links between pairs of parties are, each in the direction named.
pub type Pairs = Vec<((Party, Party), Quality)>;

#[derive(Debug, Default)]
struct State {
    /// By the number of the fault that is on: which pairs it spoils, and how.
    faults: HashMap<u64, Pairs>,
    /// By pair, all faults together; pairs that are well are not here.
    qualities: HashMap<(Party, Party), Quality>,
}

impl State {
    fn of(&self, from: Party, to: Party) -> Quality {
        self.qualities.get(&(from, to)).copied().unwrap_or_default()
    }

    fn sum_up(&mut self) {
        self.qualities.clear();
        for (pair, quality) in self.faults.values().flatten() {
            let known = self.qualities.entry(*pair).or_default();
            *known = known.and(*quality);
        }
    }
}

/// Datagrams on their way, the one due first on top.
struct OnTheWay {
    due: Instant,
    number: u64,
    bytes: Vec<u8>,
    from: Arc<UdpSocket>,
    to: SocketAddr,
}

impl PartialEq for OnTheWay {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.number) == (other.due, other.number)
    }
}
impl Eq for OnTheWay {}
impl PartialOrd for OnTheWay {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for OnTheWay {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.due, other.number).cmp(&(self.due, self.number))
    }
}

/// Where a link for streams listens. While it is cut, what waits to be taken in is filled up by connections of our own, so
/// that the system drops the first word of every further one: it hangs, as it does where packets vanish.
#[derive(Debug)]
struct Entry {
    pair: (Party, Party),
    at: SocketAddr,
    listener: TcpListener,
    /// It is filled up.
    full: Mutex<bool>,
}

#[derive(Debug, Default)]
struct Counted {
    bytes: AtomicU64,
    /// Of these, datagrams'.
    gossip: AtomicU64,
    dropped: AtomicU64,
    resets: AtomicU64,
}

struct Inner {
    state: Mutex<State>,
    changed: Condvar,
    way: Mutex<BinaryHeap<OnTheWay>>,
    sent: Condvar,
    senders: Mutex<HashMap<SocketAddr, Party>>,
    /// Where those came from whose connection nobody took behind the link.
    refused: Mutex<HashSet<SocketAddr>>,
    /// Connections that fill the backlog of a link that is cut, by where it listens and where they come from: one port may lead to
    /// several links. Each is kept until it is taken in, since a port that is free again may be a client's next.
    fillers: Mutex<HashMap<(SocketAddr, SocketAddr), TcpStream>>,
    /// Where somebody listens, to be woken at the end.
    listening: Mutex<Vec<SocketAddr>>,
    entries: Mutex<Vec<Arc<Entry>>>,
    counted: Counted,
    seed: AtomicU64,
    over: AtomicBool,
}

/// All links of a site.
#[derive(Clone)]
pub struct Network(Arc<Inner>);

fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Network {
    /// One whose links are all well. What is random in it begins with this seed.
    pub fn new(seed: u64) -> Self {
        let network = Self(Arc::new(Inner {
            state: Mutex::default(),
            changed: Condvar::new(),
            way: Mutex::default(),
            sent: Condvar::new(),
            senders: Mutex::default(),
            refused: Mutex::default(),
            fillers: Mutex::default(),
            listening: Mutex::default(),
            entries: Mutex::default(),
            counted: Counted::default(),
            seed: AtomicU64::new(seed),
            over: AtomicBool::new(false),
        }));
        let post = network.clone();
        thread::spawn(move || post.deliver());
        network
    }

    fn random(&self) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.0.seed.fetch_add(1, Ordering::Relaxed))
    }

    /// Spoils these pairs until [`Network::heal`] is called with the same number.
    pub fn spoil(&self, number: u64, pairs: Pairs) {
        let mut state = held(&self.0.state);
        state.faults.insert(number, pairs);
        state.sum_up();
        drop(state);
        self.has_changed();
    }

    /// Ends this fault.
    pub fn heal(&self, number: u64) {
        let mut state = held(&self.0.state);
        state.faults.remove(&number);
        state.sum_up();
        drop(state);
        self.has_changed();
    }

    fn has_changed(&self) {
        self.0.changed.notify_all();
        for entry in &*held(&self.0.entries) {
            if self.is_cut(entry.pair) != *held(&entry.full) {
                let (network, entry) = (self.clone(), entry.clone());
                thread::spawn(move || network.fill_or_clear(&entry));
            }
        }
    }

    /// Whether nothing passes between these one way or the other: no connection comes up.
    fn is_cut(&self, (from, to): (Party, Party)) -> bool {
        let state = held(&self.0.state);
        state.of(from, to).cut || state.of(to, from).cut
    }

    fn fill_or_clear(&self, entry: &Entry) {
        let mut full = held(&entry.full);
        // Whichever of several changes comes here last leaves it as the link is.
        while self.is_cut(entry.pair) != *full && !self.over() {
            *full = !*full;
            let _ = rustix::net::listen(&entry.listener, if *full { 0 } else { BACKLOG });
            for _ in 0..if *full { FILL } else { 0 } {
                let Ok(stream) = TcpStream::connect_timeout(&entry.at, COMES_UP) else { break };
                if let Ok(from) = stream.local_addr() {
                    held(&self.0.fillers).insert((entry.at, from), stream);
                }
            }
        }
    }

    /// How a link is now.
    pub fn quality(&self, from: Party, to: Party) -> Quality {
        held(&self.0.state).of(from, to)
    }

    /// Bytes carried, datagrams dropped and connections reset so far.
    pub fn counts(&self) -> (u64, u64, u64) {
        let c = &self.0.counted;
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (get(&c.bytes), get(&c.dropped), get(&c.resets))
    }

    /// Bytes of datagrams carried so far.
    pub fn gossip(&self) -> u64 {
        self.0.counted.gossip.load(Ordering::Relaxed)
    }

    /// Ends all links for good.
    pub fn end(&self) {
        self.0.over.store(true, Ordering::Relaxed);
        let wake = |at| drop(TcpStream::connect_timeout(&at, COMES_UP));
        held(&self.0.listening).drain(..).for_each(wake);
        self.0.changed.notify_all();
        self.0.sent.notify_all();
    }

    fn over(&self) -> bool {
        self.0.over.load(Ordering::Relaxed)
    }

    /// A link for streams: `from` connects to `at`, and reaches what listens at `behind`, which is `to`'s.
    ///
    /// # Errors
    ///
    /// `at` cannot be listened on.
    pub fn stream(
        &self,
        from: Party,
        to: Party,
        at: SocketAddr,
        behind: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(at)?;
        let at = listener.local_addr()?;
        let entry = Entry { pair: (from, to), at, listener: listener.try_clone()?, full: Mutex::default() };
        held(&self.0.entries).push(Arc::new(entry));
        let network = self.clone();
        let takes = move |near: TcpStream| {
            let network = network.clone();
            thread::spawn(move || network.connect((from, to), near, behind));
        };
        self.take_in(listener, Some((from, to)), takes);
        Ok(at)
    }

    /// Listens here and serves each connection in a thread, until the network ends.
    ///
    /// # Errors
    ///
    /// `at` cannot be listened on.
    pub fn listen(
        &self,
        at: SocketAddr,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(at)?;
        let at = listener.local_addr()?;
        let serve = Arc::new(serve);
        self.take_in(listener, None, move |stream| {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        });
        Ok(at)
    }

    /// Hands each connection on in a thread, until the network ends; none while the link of this pair is cut.
    fn take_in(
        &self,
        listener: TcpListener,
        pair: Option<(Party, Party)>,
        takes: impl Fn(TcpStream) + Send + 'static,
    ) {
        let Ok(at) = listener.local_addr() else { return };
        held(&self.0.listening).push(at);
        let network = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if let Some(pair) = pair {
                    network.wait_while(|| network.is_cut(pair));
                }
                if network.over() {
                    return;
                }
                let from = stream.peer_addr().ok();
                if from.and_then(|from| held(&network.0.fillers).remove(&(at, from))).is_none() {
                    takes(stream);
                }
            }
        });
    }

    /// Waits while this is so, until the network ends.
    fn wait_while(&self, so: impl Fn() -> bool) {
        while so() && !self.over() {
            let state = held(&self.0.state);
            drop(self.0.changed.wait_timeout(state, LOOK));
        }
    }

    fn connect(&self, (from, to): (Party, Party), near: TcpStream, behind: SocketAddr) {
        // Nothing is known of the far side while the link is cut.
        if !self.passes(from, to) {
            return reset(&near);
        }
        let Ok(far) = TcpStream::connect(behind) else {
            held(&self.0.refused).extend(near.peer_addr());
            return reset(&near);
        };
        let both = Arc::new(Ends { near, far, reset: AtomicBool::new(false) });
        let (back, ends) = (self.clone(), both.clone());
        thread::spawn(move || back.pump((to, from), &ends.far, &ends.near, &ends));
        self.pump((from, to), &both.near, &both.far, &both);
    }

    /// Whether nobody took the connection that came from here: the system takes each for the link. Asked once.
    pub fn was_refused(&self, from: SocketAddr) -> bool {
        held(&self.0.refused).remove(&from)
    }

    /// Waits until the link carries again. False where it is closed or the site has ended.
    fn passes(&self, from: Party, to: Party) -> bool {
        let mut state = held(&self.0.state);
        loop {
            let quality = state.of(from, to);
            if self.over() || quality.closed {
                return false;
            }
            if !quality.cut {
                return true;
            }
            state = self.0.changed.wait(state).unwrap_or_else(std::sync::PoisonError::into_inner);
        }
    }

    /// Carries one direction of a connection until it ends.
    fn pump(&self, (from, to): (Party, Party), mut source: &TcpStream, mut sink: &TcpStream, both: &Ends) {
        let _ = (source.set_nodelay(true), sink.set_nodelay(true));
        // So that a link that is closed or has ended is noticed while nothing is said on it.
        let _ = source.set_read_timeout(Some(LOOK));
        let mut random = self.random();
        let mut chunk = vec![0; CHUNK];
        loop {
            let read = source.read(&mut chunk);
            let quality = self.quality(from, to);
            if quality.closed || self.over() || both.reset.load(Ordering::Acquire) {
                return both.reset();
            }
            let n = match read {
                Ok(n) => n,
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                    ) =>
                {
                    continue;
                }
                Err(_) => {
                    // A reset on one side is one on the other, once the link carries.
                    self.passes(from, to);
                    return both.reset();
                }
            };
            if n > 0 && random.f64() < quality.reset {
                let _ = sink.write_all(&chunk[..n / 2]);
                self.0.counted.resets.fetch_add(1, Ordering::Relaxed);
                return both.reset();
            }
            let mut span = quality.span(n, &mut random);
            let mut again = AGAIN;
            while n > 0 && random.f64() < quality.loss.min(MOST_LOSS) {
                span += again;
                again *= 2;
            }
            if !span.is_zero() {
                thread::sleep(span);
            }
            let waited = self.quality(from, to).cut;
            if !self.passes(from, to) {
                return both.reset();
            }
            // Whoever has let go meanwhile is not heard of any more.
            if waited && n > 0 && source.peek(&mut [0]).is_ok_and(|n| n == 0) {
                return both.reset();
            }
            self.0.counted.bytes.fetch_add(n as u64, Ordering::Relaxed);
            if n == 0 {
                let _ = sink.shutdown(Shutdown::Write);
                return;
            }
            if sink.write_all(&chunk[..n]).is_err() {
                return both.reset();
            }
        }
    }

    /// Datagrams from this address are this party's.
    pub fn sends_from(&self, party: Party, address: SocketAddr) {
        held(&self.0.senders).insert(address, party);
    }

    /// A link for datagrams to a party that hears them at `behind`; brings the address at which the others reach it.
    ///
    /// # Errors
    ///
    /// `at` cannot be listened on.
    pub fn datagrams(&self, to: Party, at: SocketAddr, behind: SocketAddr) -> std::io::Result<SocketAddr> {
        let socket = Arc::new(UdpSocket::bind(at)?);
        let at = socket.local_addr()?;
        socket.set_read_timeout(Some(LOOK))?;
        let network = self.clone();
        thread::spawn(move || {
            let mut random = network.random();
            let mut buffer = [0; 2048];
            while !network.over() {
                // A word that nobody listens behind concerns no other datagram.
                let Ok((n, from)) = socket.recv_from(&mut buffer) else { continue };
                let from = held(&network.0.senders).get(&from).copied();
                let quality = from.map_or_else(Quality::default, |from| network.quality(from, to));
                if quality.cut || quality.closed || random.f64() < quality.loss {
                    network.0.counted.dropped.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
                let times = 1 + usize::from(random.f64() < quality.repeat);
                for _ in 0..times {
                    let mut span = quality.span(n, &mut random);
                    if random.f64() < quality.reorder {
                        span += Duration::from_millis(5) + quality.delay + quality.jitter;
                    }
                    network.0.counted.bytes.fetch_add(n as u64, Ordering::Relaxed);
                    network.0.counted.gossip.fetch_add(n as u64, Ordering::Relaxed);
                    if span.is_zero() {
                        let _ = socket.send_to(&buffer[..n], behind);
                    } else {
                        network.post(span, buffer[..n].to_vec(), socket.clone(), behind);
                    }
                }
            }
        });
        Ok(at)
    }

    fn post(&self, span: Duration, bytes: Vec<u8>, from: Arc<UdpSocket>, to: SocketAddr) {
        let mut way = held(&self.0.way);
        if way.len() >= MOST_ON_THE_WAY {
            self.0.counted.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let number = self.0.seed.fetch_add(1, Ordering::Relaxed);
        way.push(OnTheWay { due: Instant::now() + span, number, bytes, from, to });
        self.0.sent.notify_one();
    }

    fn deliver(&self) {
        let mut way = held(&self.0.way);
        while !self.over() {
            let now = Instant::now();
            let wait = way.peek().map_or(LOOK, |d| d.due.saturating_duration_since(now));
            if wait.is_zero() {
                if let Some(datagram) = way.pop() {
                    let _ = datagram.from.send_to(&datagram.bytes, datagram.to);
                }
                continue;
            }
            way = self.0.sent.wait_timeout(way, wait).map_or_else(|e| e.into_inner().0, |(way, _)| way);
        }
    }
}

/// Both ends of a connection that a link carries.
struct Ends {
    near: TcpStream,
    far: TcpStream,
    /// What is read from here on is no end that the other side said.
    reset: AtomicBool,
}

impl Ends {
    /// Ends both by a reset: it goes out when the second of the two directions has let go.
    fn reset(&self) {
        self.reset.store(true, Ordering::Release);
        reset(&self.near);
        reset(&self.far);
    }
}

/// When this socket is closed, its connection is reset; whoever waits to read from it wakes up.
fn reset(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    // Only the reading half: the other one would say an orderly end first.
    let _ = stream.shutdown(Shutdown::Read);
}

#[cfg(test)]
mod tests {
    use super::*;

    fn here() -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 0))
    }

    /// An echo of streams behind a link from party 0 to party 1.
    fn echo(network: &Network) -> SocketAddr {
        let listener = TcpListener::bind(here()).expect("a free port");
        let behind = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                thread::spawn(move || {
                    let mut buffer = [0; 1024];
                    while let Ok(n) = stream.read(&mut buffer) {
                        if n == 0 || stream.write_all(&buffer[..n]).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        network.stream(0, 1, here(), behind).expect("a free port")
    }

    fn connect(at: SocketAddr) -> TcpStream {
        let stream = TcpStream::connect(at).expect("the link listens");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out can be set");
        stream
    }

    fn say(stream: &mut TcpStream, word: &[u8]) -> std::io::Result<Vec<u8>> {
        stream.write_all(word)?;
        let mut heard = vec![0; word.len()];
        stream.read_exact(&mut heard)?;
        Ok(heard)
    }

    #[test]
    fn a_cut_link_holds_what_is_said_until_it_heals() {
        let network = Network::new(1);
        let mut stream = connect(echo(&network));
        assert_eq!(say(&mut stream, b"one").expect("an echo"), b"one");
        // One way only: what goes there passes, what comes back does not.
        let cut = Quality { cut: true, ..Quality::default() };
        network.spoil(1, vec![((1, 0), cut)]);
        stream.write_all(b"two").expect("it is taken");
        stream.set_read_timeout(Some(Duration::from_millis(400))).expect("a time-out can be set");
        assert!(stream.read(&mut [0; 3]).is_err(), "nothing comes back");
        network.heal(1);
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out can be set");
        let mut heard = [0; 3];
        stream.read_exact(&mut heard).expect("it comes late");
        assert_eq!(&heard, b"two");
    }

    #[test]
    fn a_closed_link_resets_and_a_spoilt_one_ends_in_the_middle() {
        let network = Network::new(2);
        let at = echo(&network);
        let mut stream = connect(at);
        say(&mut stream, b"one").expect("an echo");
        network.spoil(1, vec![((0, 1), Quality { reset: 1.0, ..Quality::default() })]);
        let error = say(&mut stream, b"four").expect_err("it ends");
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
        assert_eq!(network.counts().2, 1);
        network.heal(1);
        let mut stream = connect(at);
        say(&mut stream, b"one").expect("an echo");
        network.spoil(2, vec![((0, 1), Quality { closed: true, ..Quality::default() })]);
        assert!(say(&mut stream, b"five").is_err());
        assert!(say(&mut connect(at), b"six").is_err());
    }

    #[test]
    fn no_connection_comes_up_on_a_cut_link_and_the_next_does_when_it_heals() {
        let network = Network::new(5);
        let at = echo(&network);
        say(&mut connect(at), b"one").expect("an echo");
        let cut = Quality { cut: true, ..Quality::default() };
        for pair in [(0, 1), (1, 0)] {
            network.spoil(1, vec![(pair, cut)]);
            let comes_up = || TcpStream::connect_timeout(&at, COMES_UP).is_ok();
            // The first few fill what the system keeps.
            assert!((0..1_000).any(|_| !comes_up()), "they hang");
            network.heal(1);
            let echoes = |_| {
                let stream = TcpStream::connect_timeout(&at, Duration::from_secs(5));
                stream.is_ok_and(|mut stream| say(&mut stream, b"two").is_ok())
            };
            assert!((0..10).any(echoes));
        }
    }

    #[test]
    fn datagrams_are_told_apart_by_who_sends_them() {
        let network = Network::new(3);
        let open = || {
            let socket = UdpSocket::bind(here()).expect("a free port");
            socket.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out can be set");
            socket
        };
        let (a, b, c) = (open(), open(), open());
        network.sends_from(0, a.local_addr().expect("an address"));
        network.sends_from(1, b.local_addr().expect("an address"));
        let to = network.datagrams(2, here(), c.local_addr().expect("an address")).expect("a free port");
        network.spoil(1, vec![((0, 2), Quality { cut: true, ..Quality::default() })]);
        network.spoil(2, vec![((1, 2), Quality { repeat: 1.0, ..Quality::default() })]);
        a.send_to(b"from a", to).expect("it is sent");
        b.send_to(b"from b", to).expect("it is sent");
        let mut buffer = [0; 16];
        for _ in 0..2 {
            let n = c.recv(&mut buffer).expect("it comes, twice");
            assert_eq!(&buffer[..n], b"from b");
        }
        network.heal(1);
        a.send_to(b"from a", to).expect("it is sent");
        let n = c.recv(&mut buffer).expect("it comes");
        assert_eq!(&buffer[..n], b"from a");
        assert_eq!(network.counts().1, 1, "one was dropped");
    }

    #[test]
    fn faults_on_one_pair_add_up_and_end_alone() {
        let network = Network::new(4);
        let slow = Quality { delay: Duration::from_millis(5), loss: 0.5, rate: 100, ..Quality::default() };
        network.spoil(1, vec![((0, 1), slow)]);
        network.spoil(2, vec![((0, 1), Quality { cut: true, loss: 0.5, rate: 50, ..slow })]);
        let both = network.quality(0, 1);
        assert_eq!((both.cut, both.loss, both.rate), (true, 0.75, 50));
        assert_eq!(both.delay, Duration::from_millis(10));
        network.heal(2);
        assert_eq!(network.quality(0, 1), slow);
        network.heal(1);
        assert_eq!(network.quality(0, 1), Quality::default());
    }
}
