//! Compares the log records and messages of three replicas in a fixed run with a transcript that release 0.1 wrote at commit
//! 1461877. The run has an election, proposals, and a snapshot for a replica that was isolated from the others.

mod fixture;

use fixture::{assert_matches_fixture, hex};
use replicated_config::{
    ConfigVersion, DurableState, Envelope, LeaseRequest, Message, Progress, Proposal, ProposalId, Replica,
    ReplicaId, RequestId, VersionNumbers,
};
use std::collections::VecDeque;
use std::time::Duration;
use timestamps::MonotonicTime;

/// Time between two ticks of a replica.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
const LEASE_DURATION: Duration = Duration::from_millis(500);
const REPLICAS: [ReplicaId; 3] = [ReplicaId(1), ReplicaId(2), ReplicaId(3)];

/// A message between replicas that is not delivered yet.
struct InFlightMessage {
    from: ReplicaId,
    to: ReplicaId,
    bytes: Vec<u8>,
}

/// Three replicas whose output is recorded in a transcript.
struct Cluster {
    now: MonotonicTime,
    replicas: Vec<Replica>,
    /// The replica that neither receives messages from the others nor reaches them.
    isolated_replica: Option<ReplicaId>,
    /// A line for each batch of log records and each message; `None` while recording is paused.
    transcript: Option<String>,
}

impl Cluster {
    fn new() -> Self {
        let replica = |id: &ReplicaId| {
            Replica::new(*id, &REPLICAS, DurableState::default(), LEASE_DURATION, MonotonicTime::ZERO)
                .expect("an empty log is valid")
        };
        let replicas = REPLICAS.iter().map(replica).collect();
        Self { now: MonotonicTime::ZERO, replicas, isolated_replica: None, transcript: Some(String::new()) }
    }

    fn record(&mut self, line: String) {
        if let Some(transcript) = &mut self.transcript {
            transcript.push_str(&format!("{} {line}\n", self.now.as_millis()));
        }
    }

    fn replica(&mut self, id: ReplicaId) -> &mut Replica {
        &mut self.replicas[id.index().expect("the id is that of a replica")]
    }

    /// Records the output of all replicas and delivers their messages until no replica has output left.
    fn deliver_all(&mut self) {
        let mut in_flight: VecDeque<InFlightMessage> = VecDeque::new();
        loop {
            for from in REPLICAS {
                let ready = self.replica(from).take_ready();
                if !ready.records.is_empty() {
                    let bytes = postcard::to_stdvec(&ready.records).expect("the records can be encoded");
                    self.record(format!("{from} writes {}", hex(&bytes)));
                }
                for Envelope { to, message } in ready.to_replicas {
                    self.record(format!("{from} to {to} {}", hex(&message.encode())));
                    in_flight.push_back(InFlightMessage { from, to, bytes: message.encode() });
                }
                for Envelope { to, message } in ready.to_clients {
                    self.record(format!("{from} to {to} {}", hex(&message.encode())));
                }
            }
            let Some(InFlightMessage { from, to, bytes }) = in_flight.pop_front() else { return };
            if self.isolated_replica.is_some_and(|replica| [from, to].contains(&replica)) {
                continue;
            }
            let now = self.now;
            match Message::decode(&bytes) {
                Ok(Message::Raft(message)) => self.replica(to).on_raft_message(now, *message),
                other => panic!("not a message between replicas: {other:?}"),
            }
        }
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            for replica in REPLICAS {
                let now = self.now;
                self.replica(replica).tick(now);
                self.deliver_all();
            }
        }
    }

    fn leader(&mut self) -> &mut Replica {
        let leader = REPLICAS.into_iter().find(|id| self.replica(*id).leader() == Some(*id));
        self.replica(leader.expect("there is a leader"))
    }

    fn propose(&mut self, id: u64) {
        let now = self.now;
        self.leader().propose(now, "proposer", proposal(id, &format!("p{id}"), &format!("text {id}")));
        self.deliver_all();
    }

    fn request_lease(&mut self, id: u64, known_version: u64, cached: VersionNumbers) {
        let now = self.now;
        let (client, id) = ("gatekeeper".into(), RequestId(id));
        let request = LeaseRequest {
            client,
            id,
            wants_lease: true,
            known_version: ConfigVersion(known_version),
            cached,
        };
        self.leader().on_lease_request(now, request);
        self.deliver_all();
    }

    /// Records the term, committed index and number of retained entries of each replica.
    fn record_progress(&mut self) {
        let progress: Vec<_> = self
            .replicas
            .iter()
            .map(|replica| {
                let Progress { term, committed } = replica.progress();
                ((term.0, committed.0), replica.retained_entries())
            })
            .collect();
        self.record(format!("progress {progress:?}"));
    }
}

fn proposal(id: u64, proposed_by: &str, text: &str) -> Proposal {
    let (proposed_by, text) = (proposed_by.into(), text.into());
    Proposal { id: ProposalId(id), proposed_by, expected_version: None, text }
}

#[test]
fn replicas_write_and_send_the_recorded_transcript() {
    let mut cluster = Cluster::new();
    // The first replica is elected, and leads long enough for leases of earlier leaders to expire.
    cluster.run_for(Duration::from_millis(1_500));
    cluster.request_lease(1, 0, VersionNumbers::default());
    cluster.propose(1);
    cluster.propose(2);
    cluster.request_lease(2, 1, VersionNumbers::default());
    cluster.request_lease(3, 1, VersionNumbers { in_force: ConfigVersion(1), proposed: ConfigVersion::NONE });
    cluster.replica(ReplicaId(3)).propose(
        MonotonicTime::from_millis(1_500),
        "proposer",
        proposal(3, "p", "t"),
    );
    cluster.deliver_all();
    // The third replica is isolated, and misses entries that the others then replace by a snapshot.
    cluster.isolated_replica = Some(ReplicaId(3));
    let transcript = cluster.transcript.take();
    for id in 10..200 {
        cluster.run_for(TICK_INTERVAL);
        cluster.propose(id);
    }
    cluster.transcript = transcript;
    cluster.record_progress();
    cluster.isolated_replica = None;
    cluster.run_for(Duration::from_secs(1));
    cluster.record_progress();
    let transcript = cluster.transcript.take().expect("the transcript was recorded");
    // The types of pre-vote, vote, append, heartbeat and snapshot messages and their responses.
    for message_type in [17, 18, 5, 6, 3, 4, 8, 9, 7] {
        let message = format!(" 00{message_type:02x}");
        assert!(transcript.contains(&message), "no message of type {message_type}");
    }
    assert_matches_fixture("transcript.txt", &transcript);
}
