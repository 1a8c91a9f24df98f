//! A cluster in simulated time, and the invariants that are checked at each simulated millisecond.

use crate::machine::{Machine, ReceivedOutcome, proposal};
use crate::network::{InFlightMessage, Network};
use replicated_config::{
    ConfigVersion, Envelope, LatestVersion, Message, ProposalOutcome, Replica, ReplicaId, RequestId,
    RolloutPhase,
};
use std::collections::BTreeMap;
use std::time::Duration;
use timestamps::MonotonicTime;

/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(1);
/// Time between two attempts of a proposer.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The outcome of a proposal, and the time between the first attempt and the outcome's arrival.
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
    pub random: fastrand::Rng,
    pub machines: Vec<Machine>,
    pub replicas: Vec<ReplicaId>,
    pub network: Network,
    /// The text of each committed version when it was first seen.
    pub texts: BTreeMap<ConfigVersion, String>,
    pub outcomes: Vec<ReceivedOutcome>,
    /// Number of leases that were checked.
    pub checked_lease_count: u64,
    /// Whether clients act on expired leases. A test sets this to true to prove that the lease check detects clients that do
    /// so.
    pub clients_ignore_lease_expiry: bool,
}

fn in_force(number: ConfigVersion) -> LatestVersion {
    LatestVersion { number, phase: RolloutPhase::InForce }
}

impl Simulation {
    pub fn new(seed: u64, replica_count: usize, machine_count: usize) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let replicas: Vec<ReplicaId> = (0..replica_count).map(ReplicaId::from_index).collect();
        let machines: Vec<Machine> =
            (0..machine_count).map(|index| Machine::new(index, &replicas, &mut random)).collect();
        Self {
            now: MonotonicTime::ZERO,
            network: Network::new(machine_count),
            machines,
            replicas,
            random,
            texts: BTreeMap::new(),
            outcomes: Vec::new(),
            checked_lease_count: 0,
            clients_ignore_lease_expiry: false,
        }
    }

    /// Returns the current time on this machine's clock.
    pub fn clock(&self, machine: usize) -> MonotonicTime {
        self.machines[machine].clock(self.now)
    }

    /// Sends a message, which may be delayed, lost or duplicated.
    pub fn send(&mut self, from: usize, to: usize, message: &Message) {
        self.network.send(self.now, &mut self.random, from, to, message);
    }

    /// Writes a replica's pending records to disk, then sends its messages.
    fn process_ready(&mut self, machine: usize) {
        let Some(ready) = self.machines[machine].replica.as_mut().map(Replica::take_ready) else { return };
        for record in ready.records {
            self.machines[machine].disk.apply(record).expect("records have no gap");
        }
        for Envelope { to, message } in ready.to_replicas {
            self.send(machine, to.index().expect("the id is that of a replica"), &message);
        }
        for Envelope { to, message } in ready.to_clients {
            let to = to.parse::<usize>().expect("the client's name is a machine's index");
            self.send(machine, to, &message);
        }
        if ready.state_changed {
            self.check_texts(machine);
        }
    }

    /// Checks that each version of a replica still has the text with which it was first seen.
    fn check_texts(&mut self, machine: usize) {
        let Some(replica) = &self.machines[machine].replica else { return };
        let state = replica.state();
        for version in state.history().chain(state.proposed()) {
            let first = self.texts.entry(version.number).or_insert_with(|| version.text.clone());
            assert_eq!(*first, version.text, "version {} has changed", version.number);
        }
    }

    /// Passes a message that has arrived to its recipient.
    fn deliver(&mut self, message: InFlightMessage) {
        let InFlightMessage { from, to, bytes, .. } = message;
        let message = Message::decode(&bytes).expect("a replica or client has encoded the message");
        self.outcomes.extend(self.machines[to].on_message(self.now, from, message));
        self.process_ready(to);
    }

    /// Advances by one step.
    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(message) = self.network.receive(self.now) {
            if self.machines[message.to].is_running() {
                self.deliver(message);
            }
        }
        for i in 0..self.machines.len() {
            if self.machines[i].is_running() {
                self.run_timers(i);
            }
        }
        self.check_leases();
    }

    fn run_timers(&mut self, machine: usize) {
        if self.machines[machine].tick(self.now) {
            self.process_ready(machine);
        }
        if self.now >= self.machines[machine].next_request_at {
            self.request_lease(machine);
        }
    }

    fn request_lease(&mut self, machine: usize) {
        let Envelope { to, message } = self.machines[machine].start_request(self.now, self.replicas.len());
        self.send(machine, to.index().expect("the id is that of a replica"), &message);
    }

    /// Returns the versions that a machine enforces, or `None` without a lease.
    fn enforced_versions(&self, machine: &Machine) -> Option<EnforcedVersions> {
        // A stopped machine enforces nothing, and reads its clock first when it resumes.
        if !machine.is_running() {
            return None;
        }
        let expired = machine.client.latest().filter(|_| self.clients_ignore_lease_expiry);
        let latest = machine.client.leased_version(machine.clock(self.now)).or(expired);
        latest.map(|LatestVersion { number, phase }| match phase {
            RolloutPhase::InForce => EnforcedVersions { lowest: number, highest: number },
            RolloutPhase::Proposed => EnforcedVersions { lowest: number.previous(), highest: number },
        })
    }

    /// Checks that no two leases contradict each other: there is a version that all lease holders enforce.
    fn check_leases(&mut self) {
        let enforced = self.machines.iter().filter_map(|machine| self.enforced_versions(machine));
        let all: Vec<EnforcedVersions> = enforced.collect();
        self.checked_lease_count += all.len() as u64;
        let min_highest = all.iter().map(|versions| versions.highest).min().unwrap_or_default();
        assert!(
            all.iter().all(|versions| versions.lowest <= min_highest),
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

    /// Restarts a crashed machine from its disk.
    pub fn restart(&mut self, machine: usize) {
        // The number of all sent messages is larger than every earlier request id of this machine, because all machines
        // together send far more messages than one machine sends requests.
        let first_request = RequestId(self.network.sent_message_count());
        self.machines[machine].start(self.now, &self.replicas, first_request);
    }

    /// Returns the first machine whose replica believes that it is the leader.
    pub fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| {
            let replica = self.machines[*i].replica.as_ref();
            replica.is_some_and(|replica| replica.leader() == Some(ReplicaId::from_index(*i)))
        };
        (0..self.replicas.len()).find(leads)
    }

    /// Proposes a version from this machine to all replicas, with retries, until the outcome arrives. Returns
    /// `None` after `timeout`.
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

    /// Runs until all running machines hold leases on this version in force. Returns how long that took, or
    /// `None` after `timeout`.
    pub fn time_until_in_force(&mut self, version: ConfigVersion, timeout: Duration) -> Option<Duration> {
        let started = self.now;
        while self.now < started + timeout {
            self.step();
            let mut all = (0..self.machines.len()).filter(|&i| self.machines[i].is_running());
            if all.all(|i| self.machines[i].client.leased_version(self.clock(i)) == Some(in_force(version))) {
                return Some(self.now.saturating_since(started));
            }
        }
        None
    }
}
