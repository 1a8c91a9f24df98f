//! The simulated network, machines and clocks, and the checks that hold at each millisecond.

use replicated_config::{
    ConfigVersion, DurableState, Envelope, LatestVersion, LeaseClient, LeaseRequest, Message, Proposal,
    ProposalId, ProposalOutcome, Replica, ReplicaId, RequestId, RolloutPhase, Version, VersionNumbers,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;
use std::time::Duration;
use timestamps::{MonotonicTime, whole_millis};

pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Time between two requests of a lease client.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(1);
/// Time between two attempts of a proposer.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Clocks of machines are ahead of the simulation's clock by less than this.
const MAX_CLOCK_OFFSET: Duration = Duration::from_secs(1_000);
/// Messages take less time than this.
const MAX_LATENCY: Duration = Duration::from_millis(8);

/// A machine. Each one runs a lease client, and the first ones also run a replica.
pub struct Machine {
    /// Offset of the machine's monotonic clock from the simulation's clock.
    clock_offset: Duration,
    /// False from a crash to the restart.
    pub alive: bool,
    /// Whether the process is suspended, as by SIGSTOP. It keeps its memory and misses all messages.
    pub stopped: bool,
    replica: Option<Replica>,
    /// The replica's state on disk, which survives a crash.
    disk: DurableState,
    pub client: LeaseClient,
    next_request_at: MonotonicTime,
    /// The versions whose texts the client has.
    cached: VersionNumbers,
}

/// A message that is being delivered. Ordered by arrival, then by the order of sending.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct InFlightMessage {
    arrives_at: MonotonicTime,
    serial: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// An outcome that reached its proposer.
#[derive(Debug, PartialEq)]
pub struct ReceivedOutcome {
    pub proposal: ProposalId,
    pub outcome: ProposalOutcome,
}

/// The outcome of a proposal, and the time from the first attempt to its arrival.
#[derive(Debug, PartialEq)]
pub struct TimedOutcome {
    pub elapsed: Duration,
    pub outcome: ProposalOutcome,
}

/// The versions that a client with a lease enforces: from `lowest` to `highest`, taking the stricter value of each setting.
#[derive(Debug)]
struct EnforcedVersions {
    lowest: ConfigVersion,
    highest: ConfigVersion,
}

/// A cluster of machines in simulated time.
pub struct Simulation {
    now: MonotonicTime,
    serial: u64,
    pub random: fastrand::Rng,
    pub machines: Vec<Machine>,
    pub replicas: Vec<ReplicaId>,
    in_flight: BinaryHeap<Reverse<InFlightMessage>>,
    /// The network segment of each machine. Machines of the same segment reach each other.
    pub partition: Vec<u8>,
    /// Probability that a message is lost.
    pub loss: f64,
    /// The text of each committed version when it was first seen.
    pub texts: BTreeMap<ConfigVersion, String>,
    pub outcomes: Vec<ReceivedOutcome>,
    /// Number of leases that were checked.
    pub checked_leases: u64,
    /// Clients act on expired leases. Used to test that the check fails.
    pub ignores_expiry: bool,
}

/// Draws a number of whole milliseconds.
pub fn random_millis(random: &mut fastrand::Rng, range: Range<Duration>) -> Duration {
    Duration::from_millis(random.u64(whole_millis(range.start)..whole_millis(range.end)))
}

fn in_force(number: ConfigVersion) -> LatestVersion {
    LatestVersion { number, phase: RolloutPhase::InForce }
}

impl Simulation {
    pub fn new(seed: u64, replica_count: usize, machine_count: usize) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let replicas: Vec<ReplicaId> = (0..replica_count).map(ReplicaId::from_index).collect();
        let machine = |i: usize| {
            let clock_offset = random_millis(&mut random, Duration::ZERO..MAX_CLOCK_OFFSET);
            let replica = replicas.get(i).map(|id| {
                Replica::new(
                    *id,
                    &replicas,
                    DurableState::default(),
                    LEASE_DURATION,
                    MonotonicTime::ZERO + clock_offset,
                )
                .expect("an empty log is valid")
            });
            Machine {
                clock_offset,
                alive: true,
                stopped: false,
                replica,
                disk: DurableState::default(),
                client: LeaseClient::new(LEASE_DURATION, RequestId(0)),
                next_request_at: MonotonicTime::ZERO
                    + random_millis(&mut random, Duration::ZERO..REQUEST_INTERVAL),
                cached: VersionNumbers::default(),
            }
        };
        let machines: Vec<Machine> = (0..machine_count).map(machine).collect();
        Self {
            now: MonotonicTime::ZERO,
            serial: 0,
            partition: vec![0; machines.len()],
            machines,
            replicas,
            in_flight: BinaryHeap::new(),
            random,
            loss: 0.0,
            texts: BTreeMap::new(),
            outcomes: Vec::new(),
            checked_leases: 0,
            ignores_expiry: false,
        }
    }

    /// Returns the time on this machine's clock.
    pub fn clock(&self, machine: usize) -> MonotonicTime {
        self.now + self.machines[machine].clock_offset
    }

    /// Sends a message, which may be delayed, lost or duplicated.
    pub fn send(&mut self, from: usize, to: usize, message: &Message) {
        let copies = 1 + usize::from(self.random.f64() < self.loss / 2.0);
        for _ in 0..copies {
            if self.partition[from] == self.partition[to] && self.random.f64() >= self.loss {
                self.serial += 1;
                let arrives_at = self.now + random_millis(&mut self.random, STEP..MAX_LATENCY);
                let bytes = message.encode();
                self.in_flight.push(Reverse(InFlightMessage {
                    arrives_at,
                    serial: self.serial,
                    from,
                    to,
                    bytes,
                }));
            }
        }
    }

    /// Writes the records that a replica has ready, then sends its messages.
    fn process_ready(&mut self, machine: usize) {
        let Some(ready) = self.machines[machine].replica.as_mut().map(Replica::take_ready) else { return };
        for record in ready.records {
            self.machines[machine].disk.apply(record).expect("records have no gap");
        }
        for Envelope { to, message } in ready.to_replicas {
            self.send(machine, to.index().expect("a replica"), &message);
        }
        for Envelope { to, message } in ready.to_clients {
            let to = to.parse::<usize>().expect("a machine's number");
            self.send(machine, to, &message);
        }
        if ready.state_changed {
            let state = self.machines[machine]
                .replica
                .as_ref()
                .map(|replica| replica.state().clone())
                .unwrap_or_default();
            for version in state.history().chain(state.proposed()) {
                let first = self.texts.entry(version.number).or_insert_with(|| version.text.clone());
                assert_eq!(*first, version.text, "version {} has changed", version.number);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.clock(to);
        let message = Message::decode(bytes).expect("a node has encoded it");
        let machine = &mut self.machines[to];
        match message {
            Message::Raft(message) => {
                if let Some(replica) = &mut machine.replica {
                    replica.on_raft_message(now, *message);
                }
            }
            Message::LeaseRequest(request) => {
                if let Some(replica) = &mut machine.replica {
                    replica.on_lease_request(now, request);
                }
            }
            Message::Propose(proposal) => {
                if let Some(replica) = &mut machine.replica {
                    replica.propose(now, &from.to_string(), proposal);
                }
            }
            Message::LeaseResponse(response, texts) => {
                let before = machine.client.latest();
                if machine.client.on_response(response) {
                    // The next request confirms to the leader that this client knows of the change.
                    if machine.client.latest() != before {
                        machine.next_request_at = self.now;
                    }
                    let number = |version: &Option<Version>, cached| {
                        version.as_ref().map_or(cached, |version| version.number)
                    };
                    machine.cached = VersionNumbers {
                        in_force: number(&texts.in_force, machine.cached.in_force),
                        proposed: number(&texts.proposed, machine.cached.proposed),
                    };
                }
            }
            Message::RedirectProposal { .. } => {}
            Message::RedirectLeaseRequest { request, leader } => {
                if machine.client.on_redirect(request, leader) {
                    machine.next_request_at = self.now;
                }
            }
            Message::ProposalOutcome { proposal, outcome } => {
                self.outcomes.push(ReceivedOutcome { proposal, outcome })
            }
            Message::VersionChanged(_) => machine.next_request_at = self.now,
        }
        self.process_ready(to);
    }

    /// Advances by one millisecond.
    fn step(&mut self) {
        self.now = self.now + STEP;
        while self.in_flight.peek().is_some_and(|next| next.0.arrives_at <= self.now) {
            let Some(Reverse(InFlightMessage { from, to, bytes, .. })) = self.in_flight.pop() else { break };
            if self.machines[to].alive && !self.machines[to].stopped {
                self.deliver(from, to, &bytes);
            }
        }
        for i in 0..self.machines.len() {
            if !self.machines[i].alive || self.machines[i].stopped {
                continue;
            }
            let now = self.clock(i);
            if let Some(replica) =
                self.machines[i].replica.as_mut().filter(|replica| replica.next_tick_at() <= now)
            {
                replica.tick(now);
                self.process_ready(i);
            }
            if self.now >= self.machines[i].next_request_at {
                self.request_lease(i);
            }
        }
        self.check_leases();
    }

    fn request_lease(&mut self, i: usize) {
        let now = self.clock(i);
        let machine = &mut self.machines[i];
        machine.next_request_at = self.now + REQUEST_INTERVAL;
        let (known_version, cached) = (machine.client.known_version(), machine.cached);
        let request = machine.client.start_request(now, self.replicas.len());
        let message = Message::LeaseRequest(LeaseRequest {
            client: i.to_string(),
            id: request.id,
            wants_lease: true,
            known_version,
            cached,
        });
        self.send(i, request.replica.index().expect("a replica"), &message);
    }

    /// Checks that no two leases contradict: there is a version that all their holders enforce.
    fn check_leases(&mut self) {
        let enforced = |i: usize| {
            let machine = &self.machines[i];
            let now = self.clock(i);
            // A stopped machine enforces nothing, and reads its clock first when it resumes.
            if !machine.alive || machine.stopped {
                return None;
            }
            let expired = machine.client.latest().filter(|_| self.ignores_expiry);
            let latest = machine.client.leased_version(now).or(expired);
            latest.map(|LatestVersion { number, phase }| match phase {
                RolloutPhase::InForce => EnforcedVersions { lowest: number, highest: number },
                RolloutPhase::Proposed => EnforcedVersions { lowest: number.previous(), highest: number },
            })
        };
        let all: Vec<EnforcedVersions> = (0..self.machines.len()).filter_map(enforced).collect();
        self.checked_leases += all.len() as u64;
        let limit = all.iter().map(|versions| versions.highest).min().unwrap_or_default();
        assert!(
            all.iter().all(|versions| versions.lowest <= limit),
            "at {} ms: {all:?}",
            self.now.as_millis()
        );
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Crashes a machine: its memory is lost, and its disk is kept.
    pub fn crash(&mut self, machine: usize) {
        self.machines[machine].alive = false;
        self.machines[machine].replica = None;
    }

    /// Restarts a crashed machine from its disk.
    pub fn restart(&mut self, i: usize) {
        let now = self.clock(i);
        let serial = self.serial;
        let machine = &mut self.machines[i];
        machine.alive = true;
        machine.client = LeaseClient::new(LEASE_DURATION, RequestId(serial));
        machine.cached = VersionNumbers::default();
        if let Some(id) = self.replicas.get(i) {
            let replica = Replica::new(*id, &self.replicas, machine.disk.clone(), LEASE_DURATION, now);
            machine.replica = Some(replica.expect("the log that the replica wrote is valid"));
        }
    }

    /// Returns the machine whose replica leads.
    pub fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| {
            let replica = self.machines[*i].replica.as_ref();
            replica.is_some_and(|replica| replica.leader() == Some(ReplicaId::from_index(*i)))
        };
        (0..self.replicas.len()).find(leads)
    }

    /// Proposes a version from this machine to all replicas, with retries, until the outcome arrives. Returns `None` after `timeout`.
    pub fn propose(&mut self, from: usize, id: u64, timeout: Duration) -> Option<TimedOutcome> {
        let proposal = proposal(id, from, format!("text {id}"));
        let started = self.now;
        let mut next_attempt = started;
        while self.now < started + timeout {
            if self.now >= next_attempt {
                next_attempt = self.now + RETRY_INTERVAL;
                for to in 0..self.replicas.len() {
                    self.send(from, to, &Message::Propose(proposal.clone()));
                }
            }
            self.step();
            if let Some(received) = self.outcomes.iter().find(|received| received.proposal == proposal.id) {
                let elapsed = self.now.saturating_since(started);
                return Some(TimedOutcome { elapsed, outcome: received.outcome.clone() });
            }
        }
        None
    }

    /// Runs until all running machines hold leases on this version in force. Returns how long that took, or `None` after `timeout`.
    pub fn time_until_in_force(&mut self, version: ConfigVersion, timeout: Duration) -> Option<Duration> {
        let started = self.now;
        while self.now < started + timeout {
            self.step();
            let mut all =
                (0..self.machines.len()).filter(|&i| self.machines[i].alive && !self.machines[i].stopped);
            if all.all(|i| self.machines[i].client.leased_version(self.clock(i)) == Some(in_force(version))) {
                return Some(self.now.saturating_since(started));
            }
        }
        None
    }
}

/// Creates a proposal of this machine.
pub fn proposal(id: u64, from: usize, text: String) -> Proposal {
    Proposal { id: ProposalId(id), proposed_by: from.to_string(), expected_version: None, text }
}
