use super::*;
use job_lease::local::Local;

const PERIOD: u64 = 1_000;

fn config(me: &str) -> Config {
    Config { me: me.into(), standbys: 2, skew: 100, guard: 10, trial: 200, renew: 3_000, start: 1 }
}

/// One scheduler against a store that answers at once.
struct Bench {
    scheduler: Scheduler,
    store: Local,
    now: Now,
    runs: Vec<Run>,
    notes: Vec<Note>,
    reads: usize,
    puts: usize,
    /// What the next claims are answered instead; applied all the same where the flag says so.
    answers: Vec<(Put, bool)>,
    away: bool,
}

impl Bench {
    fn new(me: &str, duties: &[&str]) -> Self {
        let mut scheduler = Scheduler::new(config(me));
        let now = Now { wall: 1_000_000, mono: 5_000 };
        let duty = |name: &&str| Duty { name: (*name).into(), period: PERIOD };
        scheduler.set_duties(now, duties.iter().map(duty).collect());
        Self {
            scheduler,
            store: Local::default(),
            now,
            runs: Vec::new(),
            notes: Vec::new(),
            reads: 0,
            puts: 0,
            answers: Vec::new(),
            away: false,
        }
    }

    fn carry_out(&mut self, mut todo: Vec<Action>) {
        while !todo.is_empty() {
            let mut next = Vec::new();
            for action in todo {
                let down = || Failure::Unknown("silence".into());
                match action {
                    Action::Open => {
                        let answer = if self.away { Err(down()) } else { Ok(self.store.open()) };
                        self.scheduler.opened(self.now, answer, &mut next);
                    }
                    Action::Renew(session) => {
                        let answer = if self.away { Err(down()) } else { Ok(true) };
                        self.scheduler.renewed(self.now, &session, answer, &mut next);
                    }
                    Action::Read { call, names } => {
                        self.reads += 1;
                        let answer = if self.away { Err(down()) } else { Ok(self.store.read(&names)) };
                        self.scheduler.read(self.now, call, &names, answer, &mut next);
                    }
                    Action::Put { call, name, record, index, .. } => {
                        self.puts += 1;
                        let answer = match self.answers.pop() {
                            Some((answer, applied)) => {
                                if applied {
                                    self.store.put(&name, record.clone(), index);
                                }
                                answer
                            }
                            None if self.away => Put::Failed(down()),
                            None => self.store.put(&name, record.clone(), index),
                        };
                        self.scheduler.put(self.now, call, &name, &record, answer, &mut next);
                    }
                    Action::Run(run) => self.runs.push(run),
                    Action::Note(note) => self.notes.push(note),
                }
            }
            todo = next;
        }
    }

    /// Lets time pass in steps of 5 ms.
    fn pass(&mut self, span: u64) {
        for _ in 0..span / 5 {
            self.now.wall += 5;
            self.now.mono += 5;
            self.tick();
        }
    }

    fn tick(&mut self) {
        let mut out = Vec::new();
        self.scheduler.tick(self.now, &mut out);
        self.carry_out(out);
    }

    fn rounds(&self) -> Vec<u64> {
        self.runs.iter().map(|r| r.round).collect()
    }

    /// The first rounds are for the seed.
    fn settle(&mut self) {
        self.pass(3 * PERIOD);
        self.runs.clear();
        self.notes.clear();
    }
}

#[test]
fn one_alone_runs_each_round_once_and_on_time() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.pass(10 * PERIOD);
    let rounds = bench.rounds();
    assert_eq!(rounds.len(), 10);
    assert!(rounds.windows(2).all(|w| w[1] - w[0] == PERIOD));
    assert_eq!(bench.notes, []);
}

#[test]
fn who_is_first_claims_with_one_call_a_round() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    (bench.reads, bench.puts) = (0, 0);
    bench.pass(10 * PERIOD);
    assert_eq!((bench.reads, bench.puts), (0, 10));
}

#[test]
fn a_key_that_is_absent_is_seeded_and_not_run() {
    let mut bench = Bench::new("a", &["d"]);
    bench.pass(PERIOD);
    assert!(matches!(bench.notes[..], [Note::Seeded(..)]), "{:?}", bench.notes);
    let Note::Seeded(_, seed) = bench.notes[0] else { unreachable!() };
    bench.pass(2 * PERIOD);
    assert!(bench.rounds()[0] > seed);
}

#[test]
fn a_claim_whose_answer_is_lost_after_it_was_applied_is_run_once() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.answers = vec![(Put::Failed(Failure::Unknown("cut".into())), true)];
    bench.pass(2 * PERIOD);
    assert_eq!(bench.rounds().len(), 2);
    assert!(matches!(bench.notes[..], [Note::Recovered(..)]), "{:?}", bench.notes);
}

#[test]
fn a_claim_whose_answer_is_lost_and_that_was_not_applied_is_tried_again() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.answers = vec![(Put::Failed(Failure::Unknown("cut".into())), false)];
    bench.pass(2 * PERIOD);
    assert_eq!(bench.rounds().len(), 2);
}

#[test]
fn a_claim_that_holds_too_late_is_not_run() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    let mut out = Vec::new();
    // Up to its claim, whose answer then comes only after a pause.
    while !out.iter().any(|a| matches!(a, Action::Put { .. })) {
        out.clear();
        bench.now.wall += 5;
        bench.now.mono += 5;
        bench.scheduler.tick(bench.now, &mut out);
    }
    bench.now.wall += 4 * PERIOD;
    bench.now.mono += 4 * PERIOD;
    bench.carry_out(out);
    assert!(bench.rounds().is_empty(), "{:?}", bench.rounds());
    assert!(matches!(bench.notes[..], [Note::Late(..)]), "{:?}", bench.notes);
    let present = round_at(&Duty { name: "d".into(), period: PERIOD }, bench.now.wall);
    bench.pass(PERIOD);
    assert_eq!(bench.rounds(), [present, present + PERIOD], "and it goes on with the present round");
}

#[test]
fn a_run_looks_at_both_clocks() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.pass(PERIOD);
    let run = &bench.runs[0];
    let begun = Now { wall: run.round, mono: run.before_mono - (run.before_wall - run.round) };
    assert!(run.in_time(begun));
    assert!(!run.in_time(Now { wall: run.before_wall, ..begun }), "the wall clock was put forward");
    assert!(
        !run.in_time(Now { mono: run.before_mono, ..begun }),
        "it was paused, and the wall clock put back"
    );
}

#[test]
fn while_the_store_is_away_nothing_runs_and_few_calls_are_made() {
    let mut bench = Bench::new("a", &["d", "e", "f", "g"]);
    bench.settle();
    bench.away = true;
    (bench.reads, bench.puts) = (0, 0);
    bench.pass(10 * PERIOD);
    assert!(bench.rounds().is_empty(), "{:?}", bench.rounds());
    assert!(bench.reads + bench.puts <= 10 * PERIOD as usize / 200 + 8, "{} and {}", bench.reads, bench.puts);
    assert!(bench.notes.iter().filter(|n| matches!(n, Note::StoreAway(_))).count() == 1, "{:?}", bench.notes);
    bench.away = false;
    bench.pass(2 * PERIOD);
    assert!(bench.notes.contains(&Note::StoreBack));
    assert!(bench.rounds().len() >= 4, "all are back within two periods");
}

#[test]
fn a_store_that_comes_back_empty_is_seeded_anew() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.pass(PERIOD);
    bench.store = Local::default();
    bench.answers = vec![(Put::SessionGone, false)];
    bench.pass(3 * PERIOD);
    assert!(bench.notes.contains(&Note::StoreNew("the session is gone")), "{:?}", bench.notes);
    assert!(bench.notes.iter().any(|n| matches!(n, Note::Seeded(..))));
    let rounds = bench.rounds();
    assert!(rounds.len() >= 3 && rounds.windows(2).all(|w| w[0] < w[1]), "{rounds:?}");
}

#[test]
fn a_round_that_another_has_claimed_is_left_alone() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    // Another instance with another view of who is alive takes every second round.
    for turn in 0..10 {
        let held = bench.store.read(&["d".into()]).held[0].1.clone().expect("a record");
        if turn % 2 == 0 {
            let round = held.record.round + PERIOD;
            bench.store.put("d", Record { round, by: "b".into(), id: 77 }, held.index);
        }
        bench.pass(PERIOD);
    }
    assert_eq!(bench.rounds().len(), 5);
    assert_eq!(bench.scheduler.shown()[0].ran, *bench.rounds().last().expect("a round"));
}

#[test]
fn a_record_far_ahead_is_told_once_and_stops_the_duty_alone() {
    let mut bench = Bench::new("a", &["d", "e"]);
    bench.settle();
    let held = bench.store.read(&["d".into()]).held[0].1.clone().expect("a record");
    bench.store.put("d", Record { round: held.record.round + 3_600_000, by: "b".into(), id: 7 }, held.index);
    bench.pass(5 * PERIOD);
    assert!(bench.runs.iter().all(|r| r.duty == "e"), "{:?}", bench.runs);
    assert_eq!(bench.notes.iter().filter(|n| matches!(n, Note::Ahead(..))).count(), 1);
}

#[test]
fn a_duty_whose_period_changes_goes_on_with_greater_rounds() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.pass(2 * PERIOD);
    for period in [7 * PERIOD, 300] {
        bench.scheduler.set_duties(bench.now, vec![Duty { name: "d".into(), period }]);
        let before = bench.runs.len();
        bench.pass(15 * PERIOD);
        let count = (bench.runs.len() - before) as u64;
        assert!(count >= 15 * PERIOD / period - 1, "{count} with a period of {period}");
    }
    assert!(bench.rounds().windows(2).all(|w| w[0] < w[1]));
    bench.scheduler.set_duties(bench.now, Vec::new());
    let before = bench.runs.len();
    bench.pass(5 * PERIOD);
    assert_eq!(bench.runs.len(), before, "a duty that is gone is not done");
}

#[test]
fn a_clock_that_is_put_back_runs_no_round_again() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.pass(3 * PERIOD);
    bench.now.wall -= 2 * PERIOD;
    bench.pass(4 * PERIOD);
    let rounds = bench.rounds();
    assert!(rounds.windows(2).all(|w| w[0] < w[1]), "{rounds:?}");
    assert!(bench.notes.iter().any(|n| matches!(n, Note::ClockSet(by) if *by < 0)));
}
