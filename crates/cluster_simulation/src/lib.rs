//! A cluster of the pure modules in simulated time: `membership`, `duties` and `claims` as the program drives them, with
//! a store and a network that can be told to fail. The same seed gives the same course, to the millisecond.

use job_lease::{
    CompareAndSetOutcome, LeaseListing, LeaseRecord, ListedLease, Session, StoreError, StoreErrorCause,
    StoredLease,
};
use membership::authentication::Keyring;
use membership::{Member, Membership, Output};
use periodic_jobs::{Action, CallId, ClockReading, Config, Job, Notice, Scheduler};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Unix milliseconds at the beginning.
const BASE: u64 = 1_800_000_000_000;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Site {
    /// Instances.
    pub instances: usize,
    /// Duties.
    pub duties: usize,
    /// Milliseconds from round to round.
    pub period: u64,
    /// Members that step in behind the first.
    pub standbys: usize,
    /// The most milliseconds that clocks are stated to differ, and do differ.
    pub skew: u64,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Milliseconds between two rounds of gossip.
    pub gossip: u64,
    /// For all that is random.
    pub seed: u64,
}

impl Default for Site {
    fn default() -> Self {
        Self {
            instances: 10,
            duties: 100,
            period: 1_000,
            standbys: 3,
            skew: 0,
            loss: 0.0,
            gossip: 100,
            seed: 1,
        }
    }
}

/// How the store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    None,
    /// It takes no call and answers none.
    Silent,
    /// It applies what comes, and the answer is lost.
    Lost,
}

#[derive(Debug)]
enum Call {
    Open,
    Renew(Session),
    Read(CallId, Vec<String>),
    CompareAndSet(CallId, String, LeaseRecord, u64, Session),
}

#[derive(Debug)]
enum Answer {
    Opened(Result<Session, StoreError>),
    Renewed(Session, Result<bool, StoreError>),
    Read(CallId, Vec<String>, Result<LeaseListing, StoreError>),
    CompareAndSet(CallId, String, LeaseRecord, CompareAndSetOutcome),
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Datagram(usize, Vec<u8>),
    /// A call reaches the store: from an instance and its life.
    Call(usize, u64, Call),
    Answer(usize, u64, Answer),
}

struct Instance {
    membership: Membership,
    scheduler: Scheduler,
    offset: i64,
    life: u64,
    ticks_at: u64,
    paused: bool,
    /// Its members have changed since the scheduler was told: a burst of changes is told once.
    changed: bool,
    /// What has come while it was paused.
    waiting: VecDeque<Event>,
}

/// What has been counted.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Claims that reached the store, and those that held.
    pub claims: (u64, u64),
    /// Reads of the store.
    pub reads: u64,
    /// Datagrams and their bytes.
    pub datagrams: (u64, u64),
    /// Runs.
    pub runs: u64,
    /// Rounds that ran more than once.
    pub doubles: u64,
    /// Runs that were asked for, and whose time was over when they were about to begin.
    pub late: u64,
}

/// The simulation.
pub struct World {
    site: Site,
    now: u64,
    numbers: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    instances: Vec<Option<Instance>>,
    rng: StdRng,
    keys: HashMap<String, StoredLease>,
    index: u64,
    life: u64,
    fault: Fault,
    /// Loses the next answers to claims that hold.
    losing: u32,
    /// The side of each instance; datagrams do not cross, and the store is reached from these sides.
    sides: Vec<u8>,
    reached: [bool; 2],
    counts: Counts,
    /// By duty and round how often it ran.
    ran: HashMap<(String, u64), u32>,
    /// By duty its last run's round and the most rounds missed in a row since the last reset.
    gaps: HashMap<String, (u64, u64)>,
    /// Notices so far.
    pub notices: Vec<Notice>,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, (i >> 16) as u8, (i >> 8) as u8, i as u8], 7_000))
}

fn number(at: SocketAddr) -> usize {
    match at.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, a, b, c] = ip.octets();
            usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

impl World {
    /// Starts all instances at once.
    pub fn new(site: Site) -> Self {
        let mut world = Self {
            now: 0,
            numbers: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            instances: (0..site.instances).map(|_| None).collect(),
            rng: StdRng::seed_from_u64(site.seed),
            keys: HashMap::new(),
            index: 0,
            life: 1,
            fault: Fault::None,
            losing: 0,
            sides: vec![0; site.instances],
            reached: [true; 2],
            counts: Counts::default(),
            ran: HashMap::new(),
            gaps: HashMap::new(),
            notices: Vec::new(),
            site,
        };
        for i in 0..world.site.instances {
            world.start(i);
        }
        world
    }

    /// Milliseconds so far.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// What has been counted so far.
    pub fn counts(&self) -> Counts {
        let doubles = self.ran.values().filter(|&&n| n > 1).count() as u64;
        Counts { doubles, ..self.counts.clone() }
    }

    /// The most rounds that any duty has missed in a row since the last call; duties that have not run at all count
    /// with all the time.
    pub fn worst_gap(&mut self) -> u64 {
        let now = BASE + self.now;
        let period = self.site.period;
        let worst = (0..self.site.duties)
            .map(|i| match self.gaps.get(&name(i)) {
                Some((last, worst)) => (*worst).max(((now.saturating_sub(*last)) / period).saturating_sub(2)),
                None => u64::MAX,
            })
            .max()
            .unwrap_or(0);
        self.gaps.values_mut().for_each(|g| g.1 = 0);
        worst
    }

    /// Starts an instance, or starts it anew under its name and address.
    pub fn start(&mut self, i: usize) {
        let (wall, site) = (BASE + self.now, self.site.clone());
        let offset = if site.skew == 0 { 0 } else { self.rng.random_range(0..=site.skew) as i64 };
        let local_member = Member { address: address(i), name: format!("m{i}"), generation: wall };
        let first = (0..site.instances.min(3)).map(address).collect();
        let config = membership::Config {
            local_member,
            seed_peers: first,
            probe_period_ms: site.gossip * 4,
            probe_timeout_ms: site.gossip,
            suspicion_timeout_ms: site.gossip * 10,
            gossip_period_ms: site.gossip,
            join_period_ms: site.gossip * 10,
            max_members: 4 * site.instances,
            max_topics: 1_024,
            rng_seed: self.rng.random(),
        };
        let keys = Keyring::parse(&"ab".repeat(32)).expect("a key");
        let mut scheduler = Scheduler::new(Config {
            instance: format!("m{i}"),
            standbys: site.standbys,
            max_clock_skew_ms: site.skew,
            start_margin_ms: 10,
            store_retry_ms: 100,
            session_renewal_ms: 3_000,
            incarnation: self.rng.random(),
        });
        let now = ClockReading { unix_ms: wall.saturating_add_signed(offset), monotonic_ms: self.now };
        let job = |i| Job { name: name(i), period_ms: site.period };
        scheduler.set_jobs(now, (0..site.duties).map(job).collect());
        let life = self.rng.random();
        self.instances[i] = Some(Instance {
            membership: Membership::new(config, keys),
            scheduler,
            offset,
            life,
            ticks_at: u64::MAX,
            paused: false,
            changed: false,
            waiting: VecDeque::new(),
        });
        self.tick_at(i, self.now);
    }

    /// Kills an instance.
    pub fn kill(&mut self, i: usize) {
        self.instances[i] = None;
    }

    /// Stops an instance where it stands.
    pub fn pause(&mut self, i: usize) {
        if let Some(instance) = &mut self.instances[i] {
            instance.paused = true;
        }
    }

    /// Lets it go on: all that has come meanwhile comes at once.
    pub fn go_on(&mut self, i: usize) {
        let Some(instance) = &mut self.instances[i] else { return };
        instance.paused = false;
        for event in std::mem::take(&mut instance.waiting) {
            self.post(0, event);
        }
        self.tick_at(i, self.now);
    }

    /// How the store fails from now on.
    pub fn fail(&mut self, fault: Fault) {
        self.fault = fault;
    }

    /// Loses the answers to the next claims that hold.
    pub fn lose_answers(&mut self, count: u32) {
        self.losing = count;
    }

    /// The store comes back with nothing, its indexes from the beginning.
    pub fn restart_store_empty(&mut self) {
        self.keys.clear();
        self.index = 0;
        self.life += 1;
    }

    /// Splits the network: the side of each instance, and from which sides the store is reached.
    pub fn split(&mut self, side: impl Fn(usize) -> u8, reached: [bool; 2]) {
        self.sides = (0..self.site.instances).map(side).collect();
        self.reached = reached;
    }

    /// How many instances see just these many members alive.
    pub fn seeing(&self, members: usize) -> usize {
        self.instances.iter().flatten().filter(|i| i.membership.alive_count() == members).count()
    }

    /// Pairs of a living instance and another one that it sees alive though it may not, or does not though it may.
    pub fn mistaken(&self, may: impl Fn(usize, usize) -> bool) -> usize {
        let lives = |i: usize| self.instances[i].is_some();
        let wrong = |(i, instance): (usize, &Instance)| {
            let seen: Vec<usize> = instance.membership.alive_addresses().map(number).collect();
            let right = seen.iter().filter(|&&other| lives(other) && may(i, other)).count();
            let all = (0..self.instances.len()).filter(|&o| o != i && lives(o) && may(i, o)).count();
            (seen.len() - right) + (all - right)
        };
        self.instances.iter().enumerate().filter_map(|(i, x)| Some(wrong((i, x.as_ref()?)))).sum()
    }

    /// The same, only those who are seen alive.
    pub fn taken_for_living(&self, may: impl Fn(usize, usize) -> bool) -> usize {
        let wrong = |(i, instance): (usize, &Instance)| {
            let seen = instance.membership.alive_addresses().map(number);
            seen.filter(|&other| self.instances[other].is_none() || !may(i, other)).count()
        };
        self.instances.iter().enumerate().filter_map(|(i, x)| Some(wrong((i, x.as_ref()?)))).sum()
    }

    /// Who each living instance sees alive.
    pub fn views(&self) -> Vec<(usize, Vec<String>)> {
        self.instances
            .iter()
            .enumerate()
            .filter_map(|(i, x)| Some((i, x.as_ref()?.membership.alive_names())))
            .collect()
    }

    /// Lets time pass.
    pub fn pass(&mut self, span: u64) {
        let until = self.now + span;
        while let Some(&Reverse((at, key))) = self.queue.peek() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&key) {
                self.take(event);
            }
        }
        self.now = until;
    }

    fn post(&mut self, after: u64, event: Event) {
        self.numbers += 1;
        self.queue.push(Reverse((self.now + after, self.numbers)));
        self.events.insert(self.numbers, event);
    }

    fn tick_at(&mut self, i: usize, at: u64) {
        let now = self.now;
        if let Some(instance) = &mut self.instances[i]
            && (at < instance.ticks_at || instance.ticks_at < now)
        {
            instance.ticks_at = at;
            self.post(at.saturating_sub(now), Event::Tick(i));
        }
    }

    fn clocks(&self, i: usize) -> ClockReading {
        let offset = self.instances[i].as_ref().map_or(0, |x| x.offset);
        ClockReading { unix_ms: (BASE + self.now).saturating_add_signed(offset), monotonic_ms: self.now }
    }

    fn take(&mut self, event: Event) {
        let i = match &event {
            Event::Call(from, life, _) => {
                let (from, life) = (*from, *life);
                if let Event::Call(_, _, call) = event {
                    self.store(from, life, call);
                }
                return;
            }
            Event::Tick(i) | Event::Datagram(i, _) | Event::Answer(i, ..) => *i,
        };
        let now = self.clocks(i);
        let Some(Some(instance)) = self.instances.get_mut(i) else { return };
        if instance.paused {
            if !matches!(event, Event::Tick(_)) && instance.waiting.len() < 1_000 {
                instance.waiting.push_back(event);
            }
            return;
        }
        let (mut outputs, mut actions) = (Vec::new(), Vec::new());
        match event {
            Event::Tick(_) => {
                if instance.ticks_at > now.monotonic_ms {
                    return;
                }
                // None is posted now: at the very beginning 0 would be taken for one that still is.
                instance.ticks_at = u64::MAX;
                instance.membership.tick(now.monotonic_ms, &mut outputs);
                // Who has no duties need not know the members.
                if std::mem::take(&mut instance.changed) && self.site.duties > 0 {
                    let living = instance.membership.alive_names();
                    instance.scheduler.set_members(now, living);
                }
                instance.scheduler.tick(now, &mut actions);
            }
            Event::Datagram(_, bytes) => {
                instance.membership.handle_datagram(now.monotonic_ms, &bytes, &mut outputs)
            }
            Event::Answer(_, life, answer) if life == instance.life => match answer {
                Answer::Opened(answer) => instance.scheduler.session_opened(now, answer, &mut actions),
                Answer::Renewed(session, answer) => {
                    instance.scheduler.session_renewed(now, &session, answer, &mut actions);
                }
                Answer::Read(call, names, answer) => {
                    instance.scheduler.leases_read(now, call, &names, answer, &mut actions);
                }
                Answer::CompareAndSet(call, job, record, outcome) => {
                    instance.scheduler.compare_and_set_done(now, call, &job, &record, outcome, &mut actions);
                }
            },
            Event::Answer(..) | Event::Call(..) => return,
        }
        instance.changed |= outputs.contains(&Output::MembersChanged);
        let life = instance.life;
        let next = instance.membership.next_tick_ms().min(
            instance
                .scheduler
                .next_tick_unix_ms()
                .map_or(u64::MAX, |at| now.monotonic_ms + at.saturating_sub(now.unix_ms)),
        );
        for output in outputs {
            if let Output::SendDatagram { to, bytes } = output {
                self.send(i, number(to), bytes);
            }
        }
        self.act(i, life, now, actions);
        self.tick_at(i, next.max(now.monotonic_ms + 1));
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.counts.datagrams.0 += 1;
        self.counts.datagrams.1 += bytes.len() as u64;
        let lost = self.rng.random_bool(self.site.loss);
        let delay = self.rng.random_range(0..=2);
        if to < self.instances.len() && self.sides[from] == self.sides[to] && !lost {
            self.post(delay, Event::Datagram(to, bytes));
        }
    }

    fn act(&mut self, i: usize, life: u64, now: ClockReading, actions: Vec<Action>) {
        for action in actions {
            let call = match action {
                Action::OpenSession => Call::Open,
                Action::RenewSession(session) => Call::Renew(session),
                Action::ReadLeases { call, jobs } => Call::Read(call, jobs),
                Action::CompareAndSet { call, job, record, expected_index, session } => {
                    Call::CompareAndSet(call, job, record, expected_index, session)
                }
                Action::Notify(notice) => {
                    self.notices.push(notice);
                    continue;
                }
                Action::StartRun(run) => {
                    // The program looks again just before it acts.
                    if run.may_start(now) {
                        self.counts.runs += 1;
                        let (last, worst) = self.gaps.entry(run.job.clone()).or_insert((run.id.0, 0));
                        *worst = (*worst)
                            .max((run.id.0.saturating_sub(*last) / self.site.period).saturating_sub(1));
                        *last = run.id.0;
                        *self.ran.entry((run.job, run.id.0)).or_default() += 1;
                    } else {
                        self.counts.late += 1;
                    }
                    continue;
                }
            };
            let delay = self.rng.random_range(1..=3);
            self.post(delay, Event::Call(i, life, call));
        }
    }

    fn store(&mut self, from: usize, life: u64, call: Call) {
        let silent = self.fault == Fault::Silent || !self.reached[usize::from(self.sides[from])];
        // Callers give up after 100 ms.
        let lost = || StoreError::OutcomeUnknown(StoreErrorCause::NoResponse);
        let (delay, answer) = match call {
            Call::Open if silent => (100, Answer::Opened(Err(lost()))),
            Call::Renew(session) if silent => (100, Answer::Renewed(session, Err(lost()))),
            Call::Read(call, names) if silent => (100, Answer::Read(call, names, Err(lost()))),
            Call::CompareAndSet(call, job, record, ..) if silent => {
                (100, Answer::CompareAndSet(call, job, record, CompareAndSetOutcome::Failed(lost())))
            }
            Call::Open => {
                let session = Session { id: self.life.to_string(), key: String::new() };
                (2, Answer::Opened(Ok(session)))
            }
            Call::Renew(session) => {
                let lives = session.id == self.life.to_string();
                (2, Answer::Renewed(session, Ok(lives)))
            }
            Call::Read(call, names) => {
                self.counts.reads += 1;
                let listed =
                    |job: &String| ListedLease { job: job.clone(), lease: self.keys.get(job).cloned() };
                let listing =
                    LeaseListing { leases: names.iter().map(listed).collect(), store_index: self.index };
                (2, Answer::Read(call, names, Ok(listing)))
            }
            Call::CompareAndSet(call, name, record, index, session) => {
                self.counts.claims.0 += 1;
                let there = self.keys.get(&name).map_or(0, |lease| lease.modify_index);
                let outcome = if session.id != self.life.to_string() {
                    CompareAndSetOutcome::SessionEnded
                } else if there != index {
                    CompareAndSetOutcome::Conflict
                } else {
                    self.index += 1;
                    self.counts.claims.1 += 1;
                    let lease = StoredLease { record: record.clone(), modify_index: self.index };
                    self.keys.insert(name.clone(), lease);
                    CompareAndSetOutcome::Applied { modify_index: self.index }
                };
                if self.fault == Fault::Lost
                    || (self.losing > 0 && matches!(outcome, CompareAndSetOutcome::Applied { .. }))
                {
                    self.losing = self.losing.saturating_sub(1);
                    (100, Answer::CompareAndSet(call, name, record, CompareAndSetOutcome::Failed(lost())))
                } else {
                    (2, Answer::CompareAndSet(call, name, record, outcome))
                }
            }
        };
        self.post(delay, Event::Answer(from, life, answer));
    }
}

fn name(i: usize) -> String {
    format!("duty-{i}")
}
