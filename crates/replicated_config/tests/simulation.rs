//! Voters and gatekeepers in simulated time: words are late, lost and doubled, machines stop, die and start again from what is
//! on their disks, the network splits. At each millisecond no two leases contradict, and nothing that was agreed is lost.

use replicated_config::{Answer, Ask, Asker, Change, Kept, Outcome, Stage, Voter, Word};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// T, in ms.
const SPAN: u64 = 3_000;
/// ms between two questions of a gatekeeper.
const ASKS: u64 = 500;

/// A machine: a gatekeeper, the first few of them voters too.
struct Machine {
    /// Its monotonic clock is ahead of the simulation's by this.
    ahead: u64,
    alive: bool,
    stopped: bool,
    voter: Option<Voter>,
    /// What is on its disk.
    kept: Kept,
    asker: Asker,
    asks_at: u64,
    /// Texts of the version in force and the proposed one, by their numbers.
    has: (u64, u64),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Sent(u64, u64, usize, usize, Vec<u8>);

struct World {
    now: u64,
    serial: u64,
    random: fastrand::Rng,
    machines: Vec<Machine>,
    voters: Vec<u64>,
    way: BinaryHeap<Reverse<Sent>>,
    side: Vec<u8>,
    loss: f64,
    /// What each version said when it was first seen.
    texts: BTreeMap<u64, String>,
    outcomes: Vec<(u64, Outcome)>,
    /// Leases are looked at.
    checked: u64,
    weakened: bool,
}

impl World {
    fn new(seed: u64, voters: usize, machines: usize) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let numbers: Vec<u64> = (1..=voters as u64).collect();
        let machine = |i: usize| {
            let ahead = random.u64(0..1_000_000);
            let voter = numbers.get(i).map(|n| {
                Voter::new(*n, &numbers, Kept::default(), SPAN, ahead).expect("a new log can be used")
            });
            let asker = Asker::new(SPAN, 0);
            let asks_at = random.u64(0..ASKS);
            let (kept, has) = Default::default();
            Machine { ahead, alive: true, stopped: false, voter, kept, asker, asks_at, has }
        };
        let machines: Vec<Machine> = (0..machines).map(machine).collect();
        Self {
            now: 0,
            serial: 0,
            side: vec![0; machines.len()],
            machines,
            voters: numbers,
            way: BinaryHeap::new(),
            random,
            loss: 0.0,
            texts: BTreeMap::new(),
            outcomes: Vec::new(),
            checked: 0,
            weakened: false,
        }
    }

    fn clock(&self, i: usize) -> u64 {
        self.now + self.machines[i].ahead
    }

    fn send(&mut self, from: usize, to: usize, word: &Word) {
        let times = 1 + usize::from(self.random.f64() < self.loss / 2.0);
        for _ in 0..times {
            if self.side[from] == self.side[to] && self.random.f64() >= self.loss {
                self.serial += 1;
                let due = self.now + self.random.u64(1..8);
                self.way.push(Reverse(Sent(due, self.serial, from, to, word.bytes())));
            }
        }
    }

    /// Writes and sends what a voter has to.
    fn carry(&mut self, i: usize) {
        let Some(ready) = self.machines[i].voter.as_mut().map(Voter::ready) else { return };
        for record in ready.writes {
            self.machines[i].kept.take(record).expect("records follow each other");
        }
        for (to, word) in ready.voters {
            self.send(i, to as usize - 1, &word);
        }
        for (to, word) in ready.others {
            let to = to.parse::<usize>().expect("a machine's number");
            self.send(i, to, &word);
        }
        if ready.changed {
            let versions = self.machines[i].voter.as_ref().map(|v| v.versions().clone()).unwrap_or_default();
            for version in versions.history().chain(versions.proposed()) {
                let first = self.texts.entry(version.number).or_insert_with(|| version.text.clone());
                assert_eq!(*first, version.text, "version {} has changed", version.number);
            }
        }
    }

    fn hear(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.clock(to);
        let Some(word) = Word::read(bytes) else { panic!("no word") };
        let machine = &mut self.machines[to];
        match word {
            Word::Voters(between) => {
                if let Some(voter) = &mut machine.voter {
                    voter.hear(now, *between);
                }
            }
            Word::Ask(ask) => {
                if let Some(voter) = &mut machine.voter {
                    voter.ask(now, ask);
                }
            }
            Word::Propose(change) => {
                if let Some(voter) = &mut machine.voter {
                    voter.propose(now, &from.to_string(), change);
                }
            }
            Word::Answer(answer, texts) => {
                let before = machine.asker.known();
                if machine.asker.answered(answer) {
                    // What is new is told by asking again.
                    if machine.asker.known() != before {
                        machine.asks_at = self.now;
                    }
                    let number =
                        |v: &Option<replicated_config::Version>, has| v.as_ref().map_or(has, |v| v.number);
                    machine.has = (number(&texts.0, machine.has.0), number(&texts.1, machine.has.1));
                }
            }
            Word::NotHere(..) => {}
            Word::Elsewhere(question, leads) => {
                if machine.asker.elsewhere(question, leads.map(|number| number as usize - 1)) {
                    machine.asks_at = self.now;
                }
            }
            Word::Proposed(id, outcome) => self.outcomes.push((id, outcome)),
            Word::Changed(_) => machine.asks_at = self.now,
        }
        self.carry(to);
    }

    /// Lets a millisecond pass.
    fn step(&mut self) {
        self.now += 1;
        while self.way.peek().is_some_and(|sent| sent.0.0 <= self.now) {
            let Some(Reverse(Sent(_, _, from, to, bytes))) = self.way.pop() else { break };
            if self.machines[to].alive && !self.machines[to].stopped {
                self.hear(from, to, &bytes);
            }
        }
        for i in 0..self.machines.len() {
            if !self.machines[i].alive || self.machines[i].stopped {
                continue;
            }
            let now = self.clock(i);
            if let Some(voter) = self.machines[i].voter.as_mut().filter(|v| v.next_due() <= now) {
                voter.tick(now);
                self.carry(i);
            }
            if self.now >= self.machines[i].asks_at {
                let machine = &mut self.machines[i];
                machine.asks_at = self.now + ASKS;
                let (has, knew) = (machine.has, machine.asker.known().map_or(0, |k| k.0));
                let (question, to) = machine.asker.ask(now, self.voters.len());
                self.send(i, to, &Word::Ask(Ask { who: i.to_string(), question, leases: true, knew, has }));
            }
        }
        self.look();
    }

    /// No two leases contradict: there is a version that both act on.
    fn look(&mut self) {
        let acts = |i: usize| {
            let machine = &self.machines[i];
            let now = self.clock(i);
            // One that stands still acts on nothing; when it goes on it looks at its clock first.
            if !machine.alive || machine.stopped {
                return None;
            }
            let held = machine.asker.holds(now).or(machine.asker.known().filter(|_| self.weakened));
            held.map(|(version, stage)| match stage {
                Stage::InForce => (version, version),
                Stage::Proposed => (version - 1, version),
            })
        };
        let all: Vec<(u64, u64)> = (0..self.machines.len()).filter_map(acts).collect();
        self.checked += all.len() as u64;
        let least = all.iter().map(|a| a.1).min().unwrap_or(0);
        assert!(all.iter().all(|a| a.0 <= least), "at {} ms: {all:?}", self.now);
    }

    fn pass(&mut self, span: u64) {
        (0..span).for_each(|_| self.step());
    }

    fn kill(&mut self, i: usize) {
        self.machines[i].alive = false;
        self.machines[i].voter = None;
    }

    fn start(&mut self, i: usize) {
        let now = self.clock(i);
        let serial = self.serial;
        let machine = &mut self.machines[i];
        machine.alive = true;
        machine.asker = Asker::new(SPAN, serial);
        machine.has = (0, 0);
        if let Some(number) = self.voters.get(i) {
            let voter = Voter::new(*number, &self.voters, machine.kept.clone(), SPAN, now);
            machine.voter = Some(voter.expect("what it wrote can be used"));
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads =
            |i: &usize| self.machines[*i].voter.as_ref().is_some_and(|v| v.leads() == Some(*i as u64 + 1));
        (0..self.voters.len()).find(leads)
    }

    /// Proposes from this machine, to all voters, until it is known what became of it; how long that took.
    fn change(&mut self, from: usize, id: u64, most: u64) -> Option<(u64, Outcome)> {
        let change = Change { id, by: from.to_string(), expect: None, text: format!("text {id}") };
        let begun = self.now;
        while self.now - begun < most {
            if (self.now - begun).is_multiple_of(100) {
                for to in 0..self.voters.len() {
                    self.send(from, to, &Word::Propose(change.clone()));
                }
            }
            self.step();
            if let Some(known) = self.outcomes.iter().find(|o| o.0 == id) {
                return Some((self.now - begun, known.1.clone()));
            }
        }
        None
    }

    /// How long until all that live hold leases on this version in force.
    fn until_all(&mut self, version: u64, most: u64) -> Option<u64> {
        let begun = self.now;
        while self.now - begun < most {
            self.step();
            let mut all =
                (0..self.machines.len()).filter(|&i| self.machines[i].alive && !self.machines[i].stopped);
            if all.all(|i| self.machines[i].asker.holds(self.clock(i)) == Some((version, Stage::InForce))) {
                return Some(self.now - begun);
            }
        }
        None
    }
}

#[test]
fn a_change_is_in_force_everywhere_within_two_questions() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 12);
        // A new leader waits for leases that another may have given.
        world.pass(5_000);
        let (took, outcome) = world.change(11, 1, 2_000).expect("it is heard of");
        assert!(took < 100 && outcome == Outcome::Taken(1), "{took} ms, {outcome:?}");
        let took = world.until_all(1, 5_000).expect("it comes into force");
        // Told of it, it is asked for, confirmed, in force, told of and asked for again.
        assert!(took <= 200, "{took} ms");
        assert!(world.checked > 10_000);
    }
}

#[test]
fn after_the_leaders_death_a_change_is_agreed_within_three_seconds() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 8);
        world.pass(3_500);
        let leader = world.leader().expect("one leads");
        world.kill(leader);
        let (took, outcome) = world.change(7, 1, 5_000).expect("it is heard of");
        assert!(took < 3_000 && outcome == Outcome::Taken(1), "seed {seed}: {took} ms, {outcome:?}");
        assert!(world.until_all(1, 8_000).is_some(), "seed {seed}");
    }
}

#[test]
fn a_stopped_gatekeeper_holds_a_change_up_for_a_span_at_most_and_wakes_without_a_lease() {
    let mut world = World::new(3, 3, 6);
    world.pass(3_500);
    world.change(5, 1, 2_000).expect("it is heard of");
    world.until_all(1, 5_000).expect("it comes into force");
    world.machines[4].stopped = true;
    world.change(5, 2, 2_000).expect("it is heard of");
    let took = world.until_all(2, 6_000).expect("it comes into force");
    assert!((1_500..=SPAN + 2 * ASKS).contains(&took), "{took} ms");
    world.machines[4].stopped = false;
    let now = world.clock(4);
    assert_eq!(world.machines[4].asker.holds(now), None);
    assert!(world.until_all(2, 2_000).is_some());
}

/// Guards against staff's own look at the versions holding a change up for T, as a lease of somebody's who never asks again.
#[test]
fn who_only_looks_holds_no_change_up() {
    let mut world = World::new(4, 3, 6);
    world.pass(5_000);
    world.kill(5);
    world.pass(SPAN);
    for to in 0..3 {
        let ask = Ask { who: "5".into(), question: 1, leases: false, knew: 0, has: (0, 0) };
        world.send(4, to, &Word::Ask(ask));
    }
    world.pass(100);
    world.change(4, 1, 2_000).expect("it is heard of");
    let took = world.until_all(1, 5_000).expect("it comes into force");
    assert!(took <= 200, "{took} ms");
}

#[test]
fn a_minority_agrees_on_nothing_and_its_leases_run_out() {
    let mut world = World::new(5, 3, 6);
    world.pass(3_500);
    let leader = world.leader().expect("one leads");
    // The leader and a gatekeeper against the rest.
    world.side = (0..6).map(|i| u8::from(i == leader || i == 5)).collect();
    assert_eq!(world.change(5, 1, 6_000), None);
    assert_eq!(world.machines[5].asker.holds(world.clock(5)), None);
    // The others go on, and the one that was apart takes what they agreed on.
    let other = (0..3).find(|i| *i != leader).expect("there are three");
    assert_eq!(world.change(other, 2, 3_000).map(|c| c.1), Some(Outcome::Taken(1)));
    world.side = vec![0; 6];
    assert!(world.until_all(1, 5_000).is_some());
}

#[test]
fn five_changes_within_a_second_with_one_gatekeeper_stopped_through_all() {
    let mut world = World::new(6, 5, 9);
    world.pass(3_500);
    world.machines[8].stopped = true;
    let mut taken = 0;
    for id in 1..=5 {
        let outcome = world.change(7, id, 1_000).expect("it is heard of").1;
        taken += usize::from(matches!(outcome, Outcome::Taken(_)));
        world.pass(150);
    }
    // One is open at a time; the others hear which.
    assert!(taken >= 1 && world.outcomes.iter().any(|o| matches!(o.1, Outcome::Busy(1, _))));
    world.machines[8].stopped = false;
    let last = world.texts.keys().max().copied().expect("there are versions");
    assert!(world.until_all(last, 8_000).is_some());
}

#[test]
fn one_whose_answer_is_lost_is_taken_once_also_by_the_next_leader() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 5);
        world.pass(3_500);
        let leader = world.leader().expect("one leads");
        // The proposal arrives, and its answer does not.
        let change = Change { id: 9, by: "4".into(), expect: None, text: "once".into() };
        world.send(4, leader, &Word::Propose(change.clone()));
        world.pass(40);
        world.outcomes.clear();
        world.kill(leader);
        world.pass(2_500);
        let next = world.leader().expect("another leads");
        world.send(4, next, &Word::Propose(change));
        world.pass(100);
        assert_eq!(world.outcomes, [(9, Outcome::Taken(1))], "seed {seed}");
        assert_eq!(world.texts.len(), 1);
    }
}

/// The whole: any of the faults at any time, many changes. The checks are in `look` and `carry`.
fn course(seed: u64, weakened: bool) -> (usize, u64) {
    let voters = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut world = World::new(seed, voters, voters + 5);
    world.weakened = weakened;
    world.loss = if seed.is_multiple_of(2) { 0.1 } else { 0.0 };
    world.pass(3_500);
    let machines = world.machines.len();
    let mut id = 0;
    for _ in 0..60 {
        let i = world.random.usize(0..machines);
        match world.random.u32(0..12) {
            0 if world.machines[i].alive => world.kill(i),
            1 if world.machines[i].alive => world.machines[i].stopped = true,
            2 => {
                let bit = world.random.u8(..);
                world.side = (0..machines).map(|i| bit >> (i % 8) & 1).collect();
            }
            3 | 4 => world.side = vec![0; machines],
            5 => (0..voters).for_each(|i| world.kill(i)),
            _ => {}
        }
        for i in 0..machines {
            if !world.machines[i].alive && world.random.u8(..) < 100 {
                world.start(i);
            }
            if world.machines[i].stopped && world.random.u8(..) < 60 {
                world.machines[i].stopped = false;
            }
        }
        id += 1;
        let from = world.random.usize(0..machines);
        let change = Change { id, by: from.to_string(), expect: None, text: format!("text {id}") };
        for to in 0..voters {
            world.send(from, to, &Word::Propose(change.clone()));
        }
        let span = world.random.u64(50..900);
        world.pass(span);
    }
    // All well again: one change more, in force everywhere.
    world.loss = 0.0;
    world.side = vec![0; machines];
    for i in 0..machines {
        world.machines[i].stopped = false;
        if !world.machines[i].alive {
            world.start(i);
        }
    }
    world.pass(8_000);
    let from = machines - 1;
    let outcome = world.change(from, 1_000_000, 3_000).expect("it is heard of").1;
    let Outcome::Taken(number) = outcome else { panic!("seed {seed}: {outcome:?}") };
    assert!(world.until_all(number, 8_000).is_some(), "seed {seed}");
    // Numbers have no gaps: nothing that was agreed is lost.
    assert_eq!(world.texts.keys().copied().collect::<Vec<_>>(), (1..=number).collect::<Vec<_>>());
    (world.texts.len(), world.checked)
}

#[test]
fn whatever_fails_no_two_leases_contradict_and_nothing_agreed_is_lost() {
    let (versions, checked) =
        (0..24).map(|seed| course(seed, false)).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    assert!(versions > 150 && checked > 1_000_000, "{versions} versions, {checked} leases looked at");
}

#[test]
fn the_check_finds_gatekeepers_that_act_without_a_lease() {
    let found = (0..10).any(|seed| std::panic::catch_unwind(|| course(seed, true)).is_err());
    assert!(found);
}

#[test]
fn the_same_seed_gives_the_same_course() {
    assert_eq!(course(7, false), course(7, false));
}

#[test]
fn answers_of_an_earlier_life_give_no_lease() {
    let mut asker = Asker::new(SPAN, 100);
    asker.ask(0, 3);
    assert!(!asker.answered(Answer { question: 99, version: 1, stage: Stage::InForce }));
    assert_eq!(asker.holds(1), None);
}
