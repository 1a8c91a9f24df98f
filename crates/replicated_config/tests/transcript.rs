//! What three replicas write and send in a fixed course: election, a change, and a snapshot for one that was cut off. The
//! transcript in `fixtures/` was written by release 0.1 at commit 1461877.

mod fixture;

use fixture::{hex, matches_fixture};
use replicated_config::{Ask, Change, Kept, Voter, Word};
use std::collections::VecDeque;

const LEASE_MS: u64 = 500;
const REPLICAS: [u64; 3] = [1, 2, 3];

struct Cluster {
    now: u64,
    replicas: Vec<Voter>,
    /// Takes and sends nothing.
    cut_off: Option<u64>,
    /// What was written and sent, a line each, where it is noted.
    transcript: Option<String>,
}

impl Cluster {
    fn new() -> Self {
        let replica = |number: &u64| {
            Voter::new(*number, &REPLICAS, Kept::default(), LEASE_MS, 0).expect("a new log can be used")
        };
        let replicas = REPLICAS.iter().map(replica).collect();
        Self { now: 0, replicas, cut_off: None, transcript: Some(String::new()) }
    }

    fn note(&mut self, line: String) {
        if let Some(transcript) = &mut self.transcript {
            transcript.push_str(&format!("{} {line}\n", self.now));
        }
    }

    /// Writes and delivers until nothing is left to be done at this moment.
    fn settle(&mut self) {
        let mut on_the_way: VecDeque<(u64, u64, Vec<u8>)> = VecDeque::new();
        loop {
            for from in REPLICAS {
                let ready = self.replicas[from as usize - 1].ready();
                if !ready.writes.is_empty() {
                    let bytes = postcard::to_stdvec(&ready.writes).expect("they have a form");
                    self.note(format!("{from} writes {}", hex(&bytes)));
                }
                for (to, message) in ready.voters {
                    self.note(format!("{from} to {to} {}", hex(&message.bytes())));
                    on_the_way.push_back((from, to, message.bytes()));
                }
                for (to, message) in ready.others {
                    self.note(format!("{from} to {to} {}", hex(&message.bytes())));
                }
            }
            let Some((from, to, bytes)) = on_the_way.pop_front() else { return };
            if self.cut_off.is_some_and(|replica| [from, to].contains(&replica)) {
                continue;
            }
            match Word::read(&bytes) {
                Some(Word::Voters(message)) => self.replicas[to as usize - 1].hear(self.now, *message),
                other => panic!("not a message between replicas: {other:?}"),
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 50;
            for replica in REPLICAS {
                let now = self.now;
                self.replicas[replica as usize - 1].tick(now);
                self.settle();
            }
        }
    }

    fn leader(&mut self) -> &mut Voter {
        let number = REPLICAS.into_iter().find(|n| self.replicas[*n as usize - 1].leads() == Some(*n));
        &mut self.replicas[number.expect("one leads") as usize - 1]
    }

    fn propose(&mut self, id: u64) {
        let change = Change { id, by: format!("p{id}"), expect: None, text: format!("text {id}") };
        let now = self.now;
        self.leader().propose(now, "proposer", change);
        self.settle();
    }

    fn request_lease(&mut self, question: u64, knew: u64, has: (u64, u64)) {
        let now = self.now;
        let ask = Ask { who: "gatekeeper".into(), question, leases: true, knew, has };
        self.leader().ask(now, ask);
        self.settle();
    }
}

#[test]
fn replicas_write_and_send_what_they_did_before() {
    let mut cluster = Cluster::new();
    // The first stands for election, and leads for longer than any lease lasts.
    cluster.pass(1_500);
    cluster.request_lease(1, 0, (0, 0));
    cluster.propose(1);
    cluster.propose(2);
    cluster.request_lease(2, 1, (0, 0));
    cluster.request_lease(3, 1, (1, 0));
    cluster.replicas[2].propose(
        1_500,
        "proposer",
        Change { id: 3, by: "p".into(), expect: None, text: "t".into() },
    );
    cluster.settle();
    // The third misses so much that its entries are no longer in the others' logs.
    cluster.cut_off = Some(3);
    let transcript = cluster.transcript.take();
    for id in 10..200 {
        cluster.pass(50);
        cluster.propose(id);
    }
    cluster.transcript = transcript;
    let progress: Vec<_> = cluster.replicas.iter().map(|r| (r.agreed(), r.lines())).collect();
    cluster.note(format!("progress {progress:?}"));
    cluster.cut_off = None;
    cluster.pass(1_000);
    let progress: Vec<_> = cluster.replicas.iter().map(|r| (r.agreed(), r.lines())).collect();
    cluster.note(format!("progress {progress:?}"));
    let transcript = cluster.transcript.take().expect("it was noted");
    // Pre-vote, vote, entries, heartbeats, a snapshot, and the answers to each.
    for kind in [17, 18, 5, 6, 3, 4, 8, 9, 7] {
        let message = format!(" 00{kind:02x}");
        assert!(transcript.contains(&message), "no message of kind {kind}");
    }
    matches_fixture("transcript.txt", &transcript);
}
