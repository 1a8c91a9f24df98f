//! Who is alive: SWIM gossip in authenticated datagrams, without I/O.
//!
//! [`Membership`] wraps the state machine of the crate `foca` (Das, Gupta and Motivala, "SWIM", 2002). Datagrams and
//! time go in; datagrams to send, members that came or went, and news go out. [`seal`] holds what makes a datagram one of
//! ours. News are small texts with a version, spread among the members along with the gossip; an older version never
//! replaces a newer one.
//!
//! Invariants:
//!
//! - A datagram is looked into only after its keyed hash was found right, and none is larger than [`LARGEST`].
//! - An instance that starts anew, or that others took for dead, has a greater generation than before, so what was said
//!   of its earlier life does not count against it.
//! - Members and topics are bounded; what goes past the bound is dropped and counted.

mod alarm;
pub mod seal;

use alarm::{Alarm, Word};
use foca::{BroadcastHandler, Foca, Identity, Invalidates, Notification, PostcardCodec, Runtime, Timer};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use seal::Keys;
use serde::{Deserialize, Serialize};
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The most bytes of a datagram: what crosses an ordinary network in one piece (RFC 8085, section 3.2).
pub const LARGEST: usize = 1_400;

/// A member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it hears gossip.
    pub address: SocketAddr,
    /// Its name.
    pub name: String,
    /// Grows with each start, and each time that others have taken it for dead.
    pub generation: u64,
}

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Self { generation: self.generation + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.generation > other.generation
    }
}

/// How the gossip goes. All spans in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// This instance.
    pub me: Member,
    /// Where others may be found at first.
    pub peers: Vec<SocketAddr>,
    /// One member is asked whether it lives once in this span.
    pub probe: u64,
    /// It should answer within this; others then ask for it.
    pub answer: u64,
    /// A member under suspicion is given up after this.
    pub suspect: u64,
    /// Gossip goes to three members once in this span.
    pub gossip: u64,
    /// Others are looked for at `peers`, and among those given up, once in this span.
    pub join: u64,
    /// The most members, alive or remembered.
    pub most_members: usize,
    /// The most topics of news.
    pub most_topics: usize,
    /// For random choices.
    pub seed: u64,
}

/// What comes out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send these bytes there.
    Send(SocketAddr, Vec<u8>),
    /// The living have changed.
    Changed,
    /// News that this instance did not have.
    News {
        /// What it is about.
        topic: String,
        /// Its version.
        version: u64,
        /// What it says.
        body: Vec<u8>,
    },
    /// Others had taken this instance for dead; it is back under a new generation.
    Returned(u64),
}

/// What has been counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams taken in.
    pub taken: u64,
    /// Datagrams whose keyed hash was wrong.
    pub strange: u64,
    /// Datagrams with a right hash that could not be used.
    pub unusable: u64,
    /// Members and topics past the bounds.
    pub over: u64,
}

#[derive(Serialize, Deserialize)]
struct News {
    topic: String,
    version: u64,
    body: Vec<u8>,
}

/// Which versions of which topics are known.
#[derive(Debug, Default)]
struct Topics {
    versions: HashMap<String, u64>,
    most: usize,
    fresh: Vec<(String, u64, Vec<u8>)>,
    over: u64,
}

/// The topics, as the state machine's handler and its owner share them.
#[derive(Clone, Debug, Default)]
struct Known(Arc<Mutex<Topics>>);

impl Known {
    fn get(&self) -> MutexGuard<'_, Topics> {
        // Each change is one step, so nothing is half-changed by a panic elsewhere.
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Stands for a piece of news in the queue of what is spread.
#[derive(Debug, PartialEq, Eq)]
struct Spread {
    topic: String,
    version: u64,
}

impl Invalidates for Spread {
    fn invalidates(&self, other: &Self) -> bool {
        self.topic == other.topic && self.version >= other.version
    }
}

impl BroadcastHandler<Member> for Known {
    type Key = Spread;
    type Error = postcard::Error;

    fn receive_item(
        &mut self,
        data: &[u8],
        from: Option<&Member>,
    ) -> Result<Option<Spread>, postcard::Error> {
        let News { topic, version, body } = postcard::from_bytes(data)?;
        let mut known = self.get();
        let full = known.versions.len() >= known.most;
        match known.versions.get_mut(&topic) {
            Some(before) if *before >= version => return Ok(None),
            Some(before) => *before = version,
            None if full => {
                known.over += 1;
                return Ok(None);
            }
            None => {
                known.versions.insert(topic.clone(), version);
            }
        }
        let spread = Spread { topic: topic.clone(), version };
        // What this instance tells itself is no news to it.
        if from.is_some() {
            known.fresh.push((topic, version, body));
        }
        Ok(Some(spread))
    }
}

/// A timer of the gossip, ordered by when it is due.
struct Due(u64, u64, Timer<Member>);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        // The heap's greatest is the one due first.
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// Takes what the state machine asks for while it is called.
#[derive(Default)]
struct Asked {
    now: u64,
    send: Vec<(SocketAddr, Vec<u8>)>,
    timers: Vec<(u64, Timer<Member>)>,
    changed: bool,
    died: Vec<u64>,
    returned: Option<u64>,
}

impl Runtime<Member> for Asked {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberDown(who) => {
                self.died.push(alarm::mark(who));
                self.changed = true;
            }
            Notification::MemberUp(_) | Notification::Rename(..) => self.changed = true,
            Notification::Rejoin(me) => self.returned = Some(me.generation),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.send.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.timers.push((self.now + after.as_millis() as u64, event));
    }
}

type Swim = Foca<Member, PostcardCodec, StdRng, Known>;

/// One instance's view of who is alive.
pub struct Membership {
    foca: Swim,
    known: Known,
    keys: Keys,
    config: Config,
    alarm: Alarm,
    rng: StdRng,
    timers: BinaryHeap<Due>,
    numbers: u64,
    joins: u64,
    counts: Counts,
    left: bool,
}

fn some(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}

impl Membership {
    /// An instance that knows nobody yet. Its first [`Membership::tick`] looks for the peers.
    pub fn new(config: Config, keys: Keys) -> Self {
        let every = |ms: u64, num: usize| {
            Some(foca::PeriodicParams { frequency: Duration::from_millis(ms.max(1)), num_members: some(num) })
        };
        let swim = foca::Config {
            probe_period: Duration::from_millis(config.probe),
            probe_rtt: Duration::from_millis(config.answer),
            num_indirect_probes: some(3),
            // Many, since after a great loss much of it goes to those who are gone and not known to be.
            max_transmissions: NonZeroU8::new(30).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: Duration::from_millis(config.suspect),
            // Long against any delay of a datagram; the generation takes care of those that come back.
            remove_down_after: Some(Duration::from_secs(600)),
            max_packet_size: some(LARGEST - seal::OVERHEAD),
            notify_down_members: true,
            periodic_announce: every(config.join * 5, 1),
            periodic_announce_to_down_members: every(config.join, 2),
            periodic_gossip: every(config.gossip, 3),
        };
        let known = Known::default();
        known.get().most = config.most_topics;
        let mut rng = StdRng::seed_from_u64(config.seed);
        let mine = StdRng::from_rng(&mut rng);
        let foca = Foca::with_custom_broadcast(config.me.clone(), swim, rng, PostcardCodec, known.clone());
        Self {
            foca,
            known,
            keys,
            alarm: Alarm::new(config.gossip, config.suspect),
            rng: mine,
            config,
            timers: BinaryHeap::new(),
            numbers: 0,
            joins: 0,
            counts: Counts::default(),
            left: false,
        }
    }

    /// The names of the living, this instance's too.
    pub fn living(&self) -> Vec<String> {
        let mut names: Vec<String> = self.foca.iter_members().map(|m| m.id().name.clone()).collect();
        names.push(self.config.me.name.clone());
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Where the living hear gossip, this instance aside.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.foca.iter_members().map(|m| m.id().address)
    }

    /// Names that more than one of the living have, this instance too. Each is one member to whoever goes by names.
    pub fn twins(&self) -> Vec<String> {
        let others = self.foca.iter_members().map(|m| &m.id().name);
        let mut names: Vec<&String> = others.chain([&self.config.me.name]).collect();
        names.sort_unstable();
        let twice = names.windows(2).filter(|two| two[0] == two[1]).map(|two| two[0].clone());
        let mut twice: Vec<String> = twice.collect();
        twice.dedup();
        twice
    }

    /// How many live, this instance too.
    pub fn count(&self) -> usize {
        self.foca.num_members() + 1
    }

    /// All members that are known, this instance aside, with whether each lives.
    pub fn members(&self) -> Vec<(Member, bool)> {
        let mut all: Vec<(Member, bool)> = self
            .foca
            .iter_membership_state()
            .map(|m| (m.id().clone(), m.state() != foca::State::Down))
            .collect();
        all.sort_by(|a, b| a.0.name.cmp(&b.0.name));
        all
    }

    /// What has been counted so far.
    pub fn counts(&self) -> Counts {
        Counts { over: self.counts.over + self.known.get().over, ..self.counts }
    }

    /// Takes other keys from now on.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// When [`Membership::tick`] wants to be called, in the milliseconds that it is given.
    pub fn next_due(&self) -> u64 {
        self.timers.peek().map_or(self.joins, |due| due.0.min(self.joins)).min(self.alarm.next_due())
    }

    /// Does what is due.
    pub fn tick(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        if now >= self.joins {
            // While alone at once, later now and then: a split that outlasts all memory heals by this.
            let alone = self.foca.num_members() == 0;
            self.joins = now + if alone { self.config.join } else { self.config.join * 10 };
            let living: Vec<SocketAddr> = self.foca.iter_members().map(|m| m.id().address).collect();
            for peer in self.config.peers.clone() {
                if peer != self.config.me.address && !living.contains(&peer) {
                    let to = Member { address: peer, name: String::new(), generation: 0 };
                    self.call(now, out, |foca, asked| foca.announce(to, asked));
                }
            }
        }
        while self.timers.peek().is_some_and(|due| due.0 <= now) {
            let Some(Due(_, _, event)) = self.timers.pop() else { break };
            self.call(now, out, |foca, asked| foca.handle_timer(event, asked));
        }
        if now >= self.alarm.next_due() {
            let all = self.foca.iter_membership_state();
            let suspects = all.filter(|m| m.state() == foca::State::Suspect).count();
            if let Some(sum) = self.alarm.look(now, suspects, self.foca.num_members())
                && let Some(to) = self.foca.iter_members().choose(&mut self.rng).map(|m| m.id().address)
            {
                self.say(to, &Word::Sum(self.config.me.address, sum), out);
            }
        }
    }

    fn say(&mut self, to: SocketAddr, word: &Word, out: &mut Vec<Output>) {
        self.send(to, &word.bytes(), out);
    }

    fn send(&mut self, to: SocketAddr, data: &[u8], out: &mut Vec<Output>) {
        let sealed = self.keys.seal(data);
        self.counts.sent += 1;
        self.counts.sent_bytes += sealed.len() as u64;
        out.push(Output::Send(to, sealed));
    }

    /// Takes in what is said of many deaths at once.
    fn hear(&mut self, now: u64, word: Word, out: &mut Vec<Output>) {
        match word {
            Word::Sum(from, sum) => {
                let start = self.rng.random_range(0..usize::MAX);
                for word in self.alarm.heard(now, sum, start) {
                    self.say(from, &word, out);
                }
            }
            Word::Gone(marks) => {
                let marks: HashSet<u64> = marks.into_iter().map(u64::from_be_bytes).collect();
                let living = self.foca.iter_members().map(|m| m.id()).chain([&self.config.me]);
                let gone: Vec<foca::Member<Member>> = living
                    .filter(|m| marks.contains(&alarm::mark(m)))
                    .map(|m| foca::Member::down(m.clone()))
                    .collect();
                // Told on in the same way, not once more by the gossip.
                self.call(now, out, |foca, asked| foca.apply_many(gone.into_iter(), false, asked));
            }
        }
    }

    /// Takes in a datagram.
    pub fn datagram(&mut self, now: u64, bytes: &[u8], out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        let Some(data) = self.keys.open(bytes) else {
            self.counts.strange += 1;
            return;
        };
        if let Some(word) = Word::read(data) {
            match word {
                Ok(word) => {
                    self.counts.taken += 1;
                    self.hear(now, word, out);
                }
                Err(_) => self.counts.unusable += 1,
            }
            return;
        }
        // Nobody new is heard past the bound. The state machine would keep whom it hears of.
        if self.foca.iter_membership_state().len() >= self.config.most_members {
            self.counts.over += 1;
            let known = postcard::take_from_bytes::<Member>(data).is_ok_and(|(from, _)| {
                self.foca.iter_membership_state().any(|m| m.id().address == from.address)
            });
            if !known {
                return;
            }
        }
        self.counts.taken += 1;
        self.call(now, out, |foca, asked| foca.handle_data(data, asked));
    }

    /// Spreads news. Nothing happens where the version is not newer than what is known.
    pub fn tell(&mut self, now: u64, topic: &str, version: u64, body: &[u8], out: &mut Vec<Output>) {
        let news = News { topic: topic.to_owned(), version, body: body.to_vec() };
        if let Ok(data) = postcard::to_stdvec(&news)
            && data.len() < LARGEST / 2
        {
            self.call(now, out, |foca, _| foca.add_broadcast(&data).map(|_| ()));
            // The first hop at once; the rest goes along with the gossip.
            self.call(now, out, |foca, asked| foca.broadcast(asked));
        }
    }

    /// Forgets topics that `keep` does not know.
    pub fn retain_topics(&mut self, keep: impl Fn(&str) -> bool) {
        self.known.get().versions.retain(|topic, _| keep(topic));
    }

    /// Tells the others that this instance goes. It does nothing any more afterwards.
    pub fn leave(&mut self, now: u64, out: &mut Vec<Output>) {
        if !self.left {
            self.call(now, out, |foca, asked| foca.leave_cluster(asked));
            self.left = true;
        }
    }

    fn call(
        &mut self,
        now: u64,
        out: &mut Vec<Output>,
        f: impl FnOnce(&mut Swim, &mut Asked) -> Result<(), foca::Error>,
    ) {
        let mut asked = Asked { now, ..Asked::default() };
        // An error concerns this one datagram: what it held up to there has been taken in.
        if f(&mut self.foca, &mut asked).is_err() {
            self.counts.unusable += 1;
        }
        for (at, timer) in asked.timers {
            self.numbers += 1;
            let after = self.alarm.span(now, at.saturating_sub(now), &timer);
            self.timers.push(Due(now + after, self.numbers, timer));
        }
        for (to, data) in asked.send {
            self.send(to, &data, out);
        }
        for mark in asked.died {
            self.alarm.died(now, mark);
        }
        for (topic, version, body) in std::mem::take(&mut self.known.get().fresh) {
            out.push(Output::News { topic, version, body });
        }
        if let Some(generation) = asked.returned {
            self.config.me.generation = generation;
            out.push(Output::Returned(generation));
        }
        if asked.changed {
            out.push(Output::Changed);
        }
    }
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Membership")
            .field("me", &self.config.me)
            .field("counts", &self.counts)
            .finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests;
