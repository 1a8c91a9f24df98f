//! A simulated machine: its clock, its disk, and its lease client and replica, which can crash or be suspended.

use crate::network::random_millis;
use replicated_config::{
    DurableState, Envelope, LeaseClient, LeaseRequest, Message, Proposal, ProposalId, ProposalOutcome,
    Replica, ReplicaId, RequestId, VersionNumbers, VersionTexts,
};
use std::time::Duration;
use timestamps::MonotonicTime;

pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Time between two regular requests of a lease client.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Upper bound of the offset by which a machine's clock is ahead of the simulation's clock.
const MAX_CLOCK_OFFSET: Duration = Duration::from_secs(1_000);

/// The outcome of a proposal as its proposer received it.
#[derive(Debug, PartialEq)]
pub struct ReceivedOutcome {
    pub proposal: ProposalId,
    pub outcome: ProposalOutcome,
}

/// A machine. Each machine runs a lease client, and the first ones also run a replica. Times in arguments are those of the
/// simulation's clock.
pub struct Machine {
    /// The machine's index, which is also the name of its client.
    index: usize,
    /// Offset of the machine's monotonic clock from the simulation's clock.
    clock_offset: Duration,
    /// False between a crash and the restart.
    pub alive: bool,
    /// Whether the process is suspended, as by SIGSTOP. A suspended process keeps its memory and misses all messages.
    pub stopped: bool,
    pub replica: Option<Replica>,
    /// The replica's state on disk, which survives a crash.
    pub disk: DurableState,
    pub client: LeaseClient,
    /// When the lease client sends its next lease request, on the simulation's clock.
    pub next_request_at: MonotonicTime,
    /// The versions whose texts the client has.
    cached: VersionNumbers,
}

impl Machine {
    /// Creates a running machine with an empty disk.
    pub fn new(index: usize, replicas: &[ReplicaId], random: &mut fastrand::Rng) -> Self {
        let clock_offset = random_millis(random, Duration::ZERO..MAX_CLOCK_OFFSET);
        let first_request = random_millis(random, Duration::ZERO..REQUEST_INTERVAL);
        let mut machine = Self {
            index,
            clock_offset,
            alive: false,
            stopped: false,
            replica: None,
            disk: DurableState::default(),
            client: LeaseClient::new(LEASE_DURATION, RequestId(0)),
            next_request_at: MonotonicTime::ZERO + first_request,
            cached: VersionNumbers::default(),
        };
        machine.start(MonotonicTime::ZERO, replicas, RequestId(0));
        machine
    }

    /// Starts the lease client, and the replica from its state on disk.
    pub fn start(&mut self, now: MonotonicTime, replicas: &[ReplicaId], first_request: RequestId) {
        self.alive = true;
        self.client = LeaseClient::new(LEASE_DURATION, first_request);
        self.cached = VersionNumbers::default();
        self.replica = replicas.get(self.index).map(|id| {
            Replica::new(*id, replicas, self.disk.clone(), LEASE_DURATION, self.clock(now))
                .expect("the disk is empty or holds the log that the replica wrote")
        });
    }

    /// Crashes the machine: its memory is lost, and its disk is kept.
    pub fn crash(&mut self) {
        self.alive = false;
        self.replica = None;
    }

    /// Returns whether the machine handles messages: it has neither crashed nor been stopped.
    pub fn is_running(&self) -> bool {
        self.alive && !self.stopped
    }

    /// Converts a time of the simulation's clock to this machine's clock.
    pub fn clock(&self, now: MonotonicTime) -> MonotonicTime {
        now + self.clock_offset
    }

    /// Lets the replica tick if a tick is due. Returns whether a tick was due.
    pub fn tick(&mut self, now: MonotonicTime) -> bool {
        let now = self.clock(now);
        let Some(replica) = self.replica.as_mut().filter(|replica| replica.next_tick_at() <= now) else {
            return false;
        };
        replica.tick(now);
        true
    }

    /// Starts a lease request and schedules the next one. Returns the message and the replica to send it to.
    pub fn start_request(&mut self, now: MonotonicTime, replica_count: usize) -> Envelope<ReplicaId> {
        self.next_request_at = now + REQUEST_INTERVAL;
        let addressed = self.client.start_request(self.clock(now), replica_count);
        let message = Message::LeaseRequest(LeaseRequest {
            client: self.index.to_string(),
            id: addressed.id,
            wants_lease: true,
            known_version: self.client.known_version(),
            cached: self.cached,
        });
        Envelope { to: addressed.replica, message }
    }

    /// Handles a message from another machine. Returns the outcome if the message answers a proposal.
    pub fn on_message(
        &mut self,
        now: MonotonicTime,
        from: usize,
        message: Message,
    ) -> Option<ReceivedOutcome> {
        match message {
            Message::LeaseResponse(response, texts) => {
                let latest_before = self.client.latest();
                if self.client.on_response(response) {
                    self.record_cached_texts(&texts);
                }
                // The next lease request tells the leader that this client knows the new latest version.
                if self.client.latest() != latest_before {
                    self.next_request_at = now;
                }
            }
            Message::RedirectLeaseRequest { request, leader } => {
                if self.client.on_redirect(request, leader) {
                    self.next_request_at = now;
                }
            }
            Message::VersionChanged(_) => self.next_request_at = now,
            Message::ProposalOutcome { proposal, outcome } => {
                return Some(ReceivedOutcome { proposal, outcome });
            }
            Message::RedirectProposal { .. } => {}
            Message::Raft(_) | Message::LeaseRequest(_) | Message::Propose(_) => {
                self.pass_to_replica(now, from, message);
            }
        }
        None
    }

    /// Records that the client has received these texts.
    fn record_cached_texts(&mut self, texts: &VersionTexts) {
        if let Some(version) = &texts.in_force {
            self.cached.in_force = version.number;
        }
        if let Some(version) = &texts.proposed {
            self.cached.proposed = version.number;
        }
    }

    /// Passes a message to the replica, if the machine has one.
    fn pass_to_replica(&mut self, now: MonotonicTime, from: usize, message: Message) {
        let now = self.clock(now);
        let Some(replica) = &mut self.replica else { return };
        match message {
            Message::Raft(message) => replica.on_raft_message(now, *message),
            Message::LeaseRequest(request) => replica.on_lease_request(now, request),
            Message::Propose(proposal) => replica.propose(now, &from.to_string(), proposal),
            other => panic!("not a message for a replica: {other:?}"),
        }
    }
}

/// Creates a proposal from this machine.
pub fn proposal(id: u64, from: usize, text: String) -> Proposal {
    Proposal { id: ProposalId(id), proposed_by: from.to_string(), expected_version: None, text }
}
