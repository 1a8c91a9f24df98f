//! Replicas and lease clients in simulated time. Messages are delayed, lost and duplicated; machines stop, crash and restart from
//! what is on their disks; the network partitions. At each millisecond no two leases contradict, and no committed version is lost.

use replicated_config::{
    ConfigVersion, DurableState, Envelope, LatestVersion, LeaseClient, LeaseRequest, LeaseResponse, Message,
    Proposal, ProposalId, ProposalOutcome, Replica, ReplicaId, RequestId, RolloutPhase, Version,
    VersionNumbers,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const LEASE_DURATION_MS: u64 = 3_000;
/// Time between two requests of a lease client.
const REQUEST_INTERVAL_MS: u64 = 500;

/// A machine: a lease client, the first few of them replicas too.
struct Machine {
    /// Its monotonic clock is ahead of the simulation's by this.
    clock_offset_ms: u64,
    alive: bool,
    stopped: bool,
    replica: Option<Replica>,
    /// What is on its disk.
    disk: DurableState,
    client: LeaseClient,
    next_request_ms: u64,
    /// Versions whose texts it has.
    cached: VersionNumbers,
}

/// A message on its way. Ordered by arrival, then by the order of sending.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    arrives_ms: u64,
    serial: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

struct World {
    now_ms: u64,
    serial: u64,
    random: fastrand::Rng,
    machines: Vec<Machine>,
    replicas: Vec<ReplicaId>,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    /// Machines reach each other where these are equal.
    partition: Vec<u8>,
    loss: f64,
    /// The text of each version when it was first seen.
    texts: BTreeMap<ConfigVersion, String>,
    outcomes: Vec<(ProposalId, ProposalOutcome)>,
    /// How many leases were checked.
    checked: u64,
    /// Clients act on expired leases, so that the check can be seen to fail.
    ignores_expiry: bool,
}

fn in_force(number: ConfigVersion) -> LatestVersion {
    LatestVersion { number, phase: RolloutPhase::InForce }
}

impl World {
    fn new(seed: u64, replica_count: usize, machine_count: usize) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let replicas: Vec<ReplicaId> = (0..replica_count).map(ReplicaId::from_index).collect();
        let machine = |i: usize| {
            let clock_offset_ms = random.u64(0..1_000_000);
            let replica = replicas.get(i).map(|id| {
                Replica::new(*id, &replicas, DurableState::default(), LEASE_DURATION_MS, clock_offset_ms)
                    .expect("a new log can be used")
            });
            Machine {
                clock_offset_ms,
                alive: true,
                stopped: false,
                replica,
                disk: DurableState::default(),
                client: LeaseClient::new(LEASE_DURATION_MS, RequestId(0)),
                next_request_ms: random.u64(0..REQUEST_INTERVAL_MS),
                cached: VersionNumbers::default(),
            }
        };
        let machines: Vec<Machine> = (0..machine_count).map(machine).collect();
        Self {
            now_ms: 0,
            serial: 0,
            partition: vec![0; machines.len()],
            machines,
            replicas,
            in_flight: BinaryHeap::new(),
            random,
            loss: 0.0,
            texts: BTreeMap::new(),
            outcomes: Vec::new(),
            checked: 0,
            ignores_expiry: false,
        }
    }

    fn clock(&self, machine: usize) -> u64 {
        self.now_ms + self.machines[machine].clock_offset_ms
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let copies = 1 + usize::from(self.random.f64() < self.loss / 2.0);
        for _ in 0..copies {
            if self.partition[from] == self.partition[to] && self.random.f64() >= self.loss {
                self.serial += 1;
                let arrives_ms = self.now_ms + self.random.u64(1..8);
                let bytes = message.encode();
                self.in_flight.push(Reverse(InFlight { arrives_ms, serial: self.serial, from, to, bytes }));
            }
        }
    }

    /// Writes and sends what a replica has ready.
    fn process_ready(&mut self, machine: usize) {
        let Some(ready) = self.machines[machine].replica.as_mut().map(Replica::take_ready) else { return };
        for record in ready.records {
            self.machines[machine].disk.apply(record).expect("records follow each other");
        }
        for Envelope { to, message } in ready.to_replicas {
            self.send(machine, to.index().expect("a replica"), &message);
        }
        for Envelope { to, message } in ready.to_clients {
            let to = to.parse::<usize>().expect("a machine's number");
            self.send(machine, to, &message);
        }
        if ready.state_changed {
            let state =
                self.machines[machine].replica.as_ref().map(|r| r.state().clone()).unwrap_or_default();
            for version in state.history().chain(state.proposed()) {
                let first = self.texts.entry(version.number).or_insert_with(|| version.text.clone());
                assert_eq!(*first, version.text, "version {} has changed", version.number);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.clock(to);
        let Ok(message) = Message::decode(bytes) else { panic!("no message") };
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
                    // By asking again the client shows the leader that it knows.
                    if machine.client.latest() != before {
                        machine.next_request_ms = self.now_ms;
                    }
                    let number = |v: &Option<Version>, cached| v.as_ref().map_or(cached, |v| v.number);
                    machine.cached = VersionNumbers {
                        in_force: number(&texts.in_force, machine.cached.in_force),
                        proposed: number(&texts.proposed, machine.cached.proposed),
                    };
                }
            }
            Message::RedirectProposal { .. } => {}
            Message::RedirectLeaseRequest { request, leader } => {
                if machine.client.on_redirect(request, leader) {
                    machine.next_request_ms = self.now_ms;
                }
            }
            Message::ProposalOutcome { proposal, outcome } => self.outcomes.push((proposal, outcome)),
            Message::VersionChanged(_) => machine.next_request_ms = self.now_ms,
        }
        self.process_ready(to);
    }

    /// Advances by one millisecond.
    fn step(&mut self) {
        self.now_ms += 1;
        while self.in_flight.peek().is_some_and(|next| next.0.arrives_ms <= self.now_ms) {
            let Some(Reverse(InFlight { from, to, bytes, .. })) = self.in_flight.pop() else { break };
            if self.machines[to].alive && !self.machines[to].stopped {
                self.deliver(from, to, &bytes);
            }
        }
        for i in 0..self.machines.len() {
            if !self.machines[i].alive || self.machines[i].stopped {
                continue;
            }
            let now = self.clock(i);
            if let Some(replica) = self.machines[i].replica.as_mut().filter(|r| r.next_tick_ms() <= now) {
                replica.tick(now);
                self.process_ready(i);
            }
            if self.now_ms >= self.machines[i].next_request_ms {
                self.request_lease(i);
            }
        }
        self.check_leases();
    }

    fn request_lease(&mut self, i: usize) {
        let now = self.clock(i);
        let machine = &mut self.machines[i];
        machine.next_request_ms = self.now_ms + REQUEST_INTERVAL_MS;
        let known_version = machine.client.latest().map_or(ConfigVersion::NONE, |latest| latest.number);
        let cached = machine.cached;
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

    /// No two leases contradict: there is a version that both enforce.
    fn check_leases(&mut self) {
        let enforced = |i: usize| {
            let machine = &self.machines[i];
            let now = self.clock(i);
            // A stopped machine enforces nothing; when it resumes it looks at its clock first.
            if !machine.alive || machine.stopped {
                return None;
            }
            let expired = machine.client.latest().filter(|_| self.ignores_expiry);
            let latest = machine.client.leased_version(now).or(expired);
            latest.map(|LatestVersion { number, phase }| match phase {
                RolloutPhase::InForce => (number, number),
                RolloutPhase::Proposed => (number.previous(), number),
            })
        };
        let all: Vec<(ConfigVersion, ConfigVersion)> =
            (0..self.machines.len()).filter_map(enforced).collect();
        self.checked += all.len() as u64;
        let least = all.iter().map(|range| range.1).min().unwrap_or_default();
        assert!(all.iter().all(|range| range.0 <= least), "at {} ms: {all:?}", self.now_ms);
    }

    fn run_for(&mut self, ms: u64) {
        (0..ms).for_each(|_| self.step());
    }

    fn crash(&mut self, machine: usize) {
        self.machines[machine].alive = false;
        self.machines[machine].replica = None;
    }

    fn restart(&mut self, i: usize) {
        let now = self.clock(i);
        let serial = self.serial;
        let machine = &mut self.machines[i];
        machine.alive = true;
        machine.client = LeaseClient::new(LEASE_DURATION_MS, RequestId(serial));
        machine.cached = VersionNumbers::default();
        if let Some(id) = self.replicas.get(i) {
            let replica = Replica::new(*id, &self.replicas, machine.disk.clone(), LEASE_DURATION_MS, now);
            machine.replica = Some(replica.expect("what it wrote can be used"));
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| {
            let replica = self.machines[*i].replica.as_ref();
            replica.is_some_and(|r| r.leader() == Some(ReplicaId::from_index(*i)))
        };
        (0..self.replicas.len()).find(leads)
    }

    /// Proposes from this machine, to all replicas, until the outcome is known; how long that took.
    fn propose(&mut self, from: usize, id: u64, most_ms: u64) -> Option<(u64, ProposalOutcome)> {
        let proposal = proposal(id, from, format!("text {id}"));
        let begun = self.now_ms;
        while self.now_ms - begun < most_ms {
            if (self.now_ms - begun).is_multiple_of(100) {
                for to in 0..self.replicas.len() {
                    self.send(from, to, &Message::Propose(proposal.clone()));
                }
            }
            self.step();
            if let Some(known) = self.outcomes.iter().find(|outcome| outcome.0 == proposal.id) {
                return Some((self.now_ms - begun, known.1.clone()));
            }
        }
        None
    }

    /// How long until all that are alive hold leases on this version in force.
    fn until_in_force(&mut self, version: ConfigVersion, most_ms: u64) -> Option<u64> {
        let begun = self.now_ms;
        while self.now_ms - begun < most_ms {
            self.step();
            let mut all =
                (0..self.machines.len()).filter(|&i| self.machines[i].alive && !self.machines[i].stopped);
            if all.all(|i| self.machines[i].client.leased_version(self.clock(i)) == Some(in_force(version))) {
                return Some(self.now_ms - begun);
            }
        }
        None
    }
}

fn proposal(id: u64, from: usize, text: String) -> Proposal {
    Proposal { id: ProposalId(id), proposed_by: from.to_string(), expected_version: None, text }
}

#[test]
fn a_proposal_is_in_force_everywhere_within_two_requests() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 12);
        // A new leader waits for leases that another may have granted.
        world.run_for(5_000);
        let (took, outcome) = world.propose(11, 1, 2_000).expect("there is an outcome");
        assert!(
            took < 100 && outcome == ProposalOutcome::Accepted(ConfigVersion(1)),
            "{took} ms, {outcome:?}"
        );
        let took = world.until_in_force(ConfigVersion(1), 5_000).expect("it comes into force");
        // Notified of it, clients ask for it, confirm it, it is activated, and they are notified and ask again.
        assert!(took <= 200, "{took} ms");
        assert!(world.checked > 10_000);
    }
}

#[test]
fn after_the_leaders_crash_a_proposal_is_committed_within_three_seconds() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 8);
        world.run_for(3_500);
        let leader = world.leader().expect("one leads");
        world.crash(leader);
        let (took, outcome) = world.propose(7, 1, 5_000).expect("there is an outcome");
        let accepted = outcome == ProposalOutcome::Accepted(ConfigVersion(1));
        assert!(took < 3_000 && accepted, "seed {seed}: {took} ms, {outcome:?}");
        assert!(world.until_in_force(ConfigVersion(1), 8_000).is_some(), "seed {seed}");
    }
}

#[test]
fn a_stopped_lease_holder_delays_a_rollout_for_one_lease_at_most_and_resumes_without_one() {
    let mut world = World::new(3, 3, 6);
    world.run_for(3_500);
    world.propose(5, 1, 2_000).expect("there is an outcome");
    world.until_in_force(ConfigVersion(1), 5_000).expect("it comes into force");
    world.machines[4].stopped = true;
    world.propose(5, 2, 2_000).expect("there is an outcome");
    let took = world.until_in_force(ConfigVersion(2), 6_000).expect("it comes into force");
    assert!((1_500..=LEASE_DURATION_MS + 2 * REQUEST_INTERVAL_MS).contains(&took), "{took} ms");
    world.machines[4].stopped = false;
    let now = world.clock(4);
    assert_eq!(world.machines[4].client.leased_version(now), None);
    assert!(world.until_in_force(ConfigVersion(2), 2_000).is_some());
}

/// Guards against a read from the command line delaying the next rollout, like the lease of a client that never asks again.
#[test]
fn a_request_without_a_lease_delays_no_rollout() {
    let mut world = World::new(4, 3, 6);
    world.run_for(5_000);
    world.crash(5);
    world.run_for(LEASE_DURATION_MS);
    for to in 0..3 {
        let request = LeaseRequest {
            client: "5".into(),
            id: RequestId(1),
            wants_lease: false,
            known_version: ConfigVersion::NONE,
            cached: VersionNumbers::default(),
        };
        world.send(4, to, &Message::LeaseRequest(request));
    }
    world.run_for(100);
    world.propose(4, 1, 2_000).expect("there is an outcome");
    let took = world.until_in_force(ConfigVersion(1), 5_000).expect("it comes into force");
    assert!(took <= 200, "{took} ms");
}

#[test]
fn a_minority_commits_nothing_and_its_leases_expire() {
    let mut world = World::new(5, 3, 6);
    world.run_for(3_500);
    let leader = world.leader().expect("one leads");
    // The leader and a client against the rest.
    world.partition = (0..6).map(|i| u8::from(i == leader || i == 5)).collect();
    assert_eq!(world.propose(5, 1, 6_000), None);
    assert_eq!(world.machines[5].client.leased_version(world.clock(5)), None);
    // The others go on, and the minority takes over what they committed.
    let other = (0..3).find(|i| *i != leader).expect("there are three");
    assert_eq!(
        world.propose(other, 2, 3_000).map(|c| c.1),
        Some(ProposalOutcome::Accepted(ConfigVersion(1)))
    );
    world.partition = vec![0; 6];
    assert!(world.until_in_force(ConfigVersion(1), 5_000).is_some());
}

#[test]
fn five_proposals_within_a_second_with_one_lease_holder_stopped_through_all() {
    let mut world = World::new(6, 5, 9);
    world.run_for(3_500);
    world.machines[8].stopped = true;
    let mut accepted = 0;
    for id in 1..=5 {
        let outcome = world.propose(7, id, 1_000).expect("there is an outcome").1;
        accepted += usize::from(matches!(outcome, ProposalOutcome::Accepted(_)));
        world.run_for(150);
    }
    // One rollout is open at a time; the other proposers hear which.
    let in_progress = |outcome: &ProposalOutcome| {
        matches!(outcome, ProposalOutcome::RolloutInProgress { version: ConfigVersion(1), .. })
    };
    assert!(accepted >= 1 && world.outcomes.iter().any(|o| in_progress(&o.1)));
    world.machines[8].stopped = false;
    let last = world.texts.keys().max().copied().expect("there are versions");
    assert!(world.until_in_force(last, 8_000).is_some());
}

#[test]
fn a_proposal_whose_outcome_is_lost_is_applied_once_also_by_the_next_leader() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 5);
        world.run_for(3_500);
        let leader = world.leader().expect("one leads");
        // The proposal arrives, and its outcome does not.
        let proposal = proposal(9, 4, "once".into());
        world.send(4, leader, &Message::Propose(proposal.clone()));
        world.run_for(40);
        world.outcomes.clear();
        world.crash(leader);
        world.run_for(2_500);
        let next = world.leader().expect("another leads");
        world.send(4, next, &Message::Propose(proposal));
        world.run_for(100);
        assert_eq!(
            world.outcomes,
            [(ProposalId(9), ProposalOutcome::Accepted(ConfigVersion(1)))],
            "seed {seed}"
        );
        assert_eq!(world.texts.len(), 1);
    }
}

/// Any of the faults at any time, and many proposals. The checks are in `check_leases` and `process_ready`. Returns the number of
/// versions and of checked leases.
fn run_with_faults(seed: u64, ignores_expiry: bool) -> (usize, u64) {
    let replicas = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut world = World::new(seed, replicas, replicas + 5);
    world.ignores_expiry = ignores_expiry;
    world.loss = if seed.is_multiple_of(2) { 0.1 } else { 0.0 };
    world.run_for(3_500);
    for id in 1..=60 {
        inject_fault(&mut world);
        recover_some(&mut world);
        let from = world.random.usize(0..world.machines.len());
        let proposal = proposal(id, from, format!("text {id}"));
        for to in 0..replicas {
            world.send(from, to, &Message::Propose(proposal.clone()));
        }
        let ms = world.random.u64(50..900);
        world.run_for(ms);
    }
    recover_all(&mut world);
    world.run_for(8_000);
    // All is well again: one more proposal, in force everywhere.
    let from = world.machines.len() - 1;
    let outcome = world.propose(from, 1_000_000, 3_000).expect("there is an outcome").1;
    let ProposalOutcome::Accepted(number) = outcome else { panic!("seed {seed}: {outcome:?}") };
    assert!(world.until_in_force(number, 8_000).is_some(), "seed {seed}");
    // Numbers have no gaps: no committed version is lost.
    assert_eq!(
        world.texts.keys().copied().collect::<Vec<_>>(),
        (1..=number.0).map(ConfigVersion).collect::<Vec<_>>()
    );
    (world.texts.len(), world.checked)
}

fn inject_fault(world: &mut World) {
    let machines = world.machines.len();
    let i = world.random.usize(0..machines);
    match world.random.u32(0..12) {
        0 if world.machines[i].alive => world.crash(i),
        1 if world.machines[i].alive => world.machines[i].stopped = true,
        2 => {
            let sides = world.random.u8(..);
            world.partition = (0..machines).map(|i| sides >> (i % 8) & 1).collect();
        }
        3 | 4 => world.partition = vec![0; machines],
        5 => (0..world.replicas.len()).for_each(|i| world.crash(i)),
        _ => {}
    }
}

fn recover_some(world: &mut World) {
    for i in 0..world.machines.len() {
        if !world.machines[i].alive && world.random.u8(..) < 100 {
            world.restart(i);
        }
        if world.machines[i].stopped && world.random.u8(..) < 60 {
            world.machines[i].stopped = false;
        }
    }
}

fn recover_all(world: &mut World) {
    world.loss = 0.0;
    world.partition = vec![0; world.machines.len()];
    for i in 0..world.machines.len() {
        world.machines[i].stopped = false;
        if !world.machines[i].alive {
            world.restart(i);
        }
    }
}

#[test]
fn under_any_faults_no_two_leases_contradict_and_no_committed_version_is_lost() {
    let (versions, checked) =
        (0..24).map(|seed| run_with_faults(seed, false)).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    assert!(versions > 150 && checked > 1_000_000, "{versions} versions, {checked} leases checked");
}

#[test]
fn the_check_finds_clients_that_act_on_an_expired_lease() {
    let found = (0..10).any(|seed| std::panic::catch_unwind(|| run_with_faults(seed, true)).is_err());
    assert!(found);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    assert_eq!(run_with_faults(7, false), run_with_faults(7, false));
}

#[test]
fn a_response_to_an_earlier_incarnation_gives_no_lease() {
    let mut client = LeaseClient::new(LEASE_DURATION_MS, RequestId(100));
    client.start_request(0, 3);
    let response =
        LeaseResponse { request: RequestId(99), version: ConfigVersion(1), phase: RolloutPhase::InForce };
    assert!(!client.on_response(response));
    assert_eq!(client.leased_version(1), None);
}
