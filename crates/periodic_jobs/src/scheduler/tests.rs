//! The scheduler of one instance against a store that responds at once.

use super::*;
use crate::{Job, Run};
use job_lease::{
    CompareAndSetOutcome, LeaseRecord, LocalStore, RunId, StoreError, StoreErrorCause, StoredLease,
};

const PERIOD_MS: u64 = 1_000;

fn config(instance: &str) -> Config {
    Config {
        instance: instance.into(),
        standbys: 2,
        max_clock_skew_ms: 100,
        start_margin_ms: 10,
        store_retry_ms: 200,
        session_renewal_ms: 3_000,
        incarnation: 1,
    }
}

fn no_response() -> StoreError {
    StoreError::OutcomeUnknown(StoreErrorCause::NoResponse)
}

/// One scheduler against a store that responds at once.
struct Bench {
    scheduler: Scheduler,
    store: LocalStore,
    now: ClockReading,
    runs: Vec<Run>,
    notices: Vec<Notice>,
    reads: usize,
    writes: usize,
    /// The outcomes of the next writes instead; applied all the same where the flag says so.
    outcomes: Vec<(CompareAndSetOutcome, bool)>,
    unavailable: bool,
}

impl Bench {
    fn new(instance: &str, jobs: &[&str]) -> Self {
        let mut scheduler = Scheduler::new(config(instance));
        let now = ClockReading { unix_ms: 1_000_000, monotonic_ms: 5_000 };
        let job = |name: &&str| Job { name: (*name).into(), period_ms: PERIOD_MS };
        scheduler.set_jobs(now, jobs.iter().map(job).collect());
        Self {
            scheduler,
            store: LocalStore::default(),
            now,
            runs: Vec::new(),
            notices: Vec::new(),
            reads: 0,
            writes: 0,
            outcomes: Vec::new(),
            unavailable: false,
        }
    }

    fn apply_action(&mut self, mut actions: Vec<Action>) {
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                match action {
                    Action::OpenSession => {
                        let response =
                            if self.unavailable { Err(no_response()) } else { Ok(self.store.open_session()) };
                        self.scheduler.session_opened(self.now, response, &mut next);
                    }
                    Action::RenewSession(session) => {
                        let response = if self.unavailable { Err(no_response()) } else { Ok(true) };
                        self.scheduler.session_renewed(self.now, &session, response, &mut next);
                    }
                    Action::ReadLeases { call, jobs } => {
                        self.reads += 1;
                        let response =
                            if self.unavailable { Err(no_response()) } else { Ok(self.store.read(&jobs)) };
                        self.scheduler.leases_read(self.now, call, &jobs, response, &mut next);
                    }
                    Action::CompareAndSet { call, job, record, expected_index, .. } => {
                        self.writes += 1;
                        let mut write = || self.store.compare_and_set(&job, record.clone(), expected_index);
                        let outcome = match self.outcomes.pop() {
                            Some((outcome, applied)) => {
                                if applied {
                                    write();
                                }
                                outcome
                            }
                            None if self.unavailable => CompareAndSetOutcome::Failed(no_response()),
                            None => write(),
                        };
                        self.scheduler
                            .compare_and_set_done(self.now, call, &job, &record, outcome, &mut next);
                    }
                    Action::StartRun(run) => self.runs.push(run),
                    Action::Notify(notice) => self.notices.push(notice),
                }
            }
            actions = next;
        }
    }

    /// Lets time pass in steps of 5 ms.
    fn pass(&mut self, span: u64) {
        for _ in 0..span / 5 {
            self.now.unix_ms += 5;
            self.now.monotonic_ms += 5;
            self.tick();
        }
    }

    fn tick(&mut self) {
        let mut out = Vec::new();
        self.scheduler.tick(self.now, &mut out);
        self.apply_action(out);
    }

    fn run_ids(&self) -> Vec<u64> {
        self.runs.iter().map(|run| run.id.0).collect()
    }

    /// The stored lease of a job.
    fn stored_lease(&self, job: &str) -> StoredLease {
        self.store.read(&[job.into()]).leases[0].lease.clone().expect("a lease")
    }

    /// The first runs are for the seed.
    fn settle(&mut self) {
        self.pass(3 * PERIOD_MS);
        self.runs.clear();
        self.notices.clear();
    }
}

#[test]
fn one_alone_starts_each_run_once_and_on_time() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.pass(10 * PERIOD_MS);
    let ids = bench.run_ids();
    assert_eq!(ids.len(), 10);
    assert!(ids.windows(2).all(|w| w[1] - w[0] == PERIOD_MS));
    assert_eq!(bench.notices, []);
}

#[test]
fn the_first_rank_acquires_with_one_call_a_run() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    (bench.reads, bench.writes) = (0, 0);
    bench.pass(10 * PERIOD_MS);
    assert_eq!((bench.reads, bench.writes), (0, 10));
}

#[test]
fn a_key_that_is_absent_is_seeded_and_not_run() {
    let mut bench = Bench::new("a", &["d"]);
    bench.pass(PERIOD_MS);
    assert!(matches!(bench.notices[..], [Notice::Seeded { .. }]), "{:?}", bench.notices);
    let Notice::Seeded { run: seed, .. } = bench.notices[0] else { unreachable!() };
    bench.pass(2 * PERIOD_MS);
    assert!(bench.run_ids()[0] > seed.0);
}

#[test]
fn a_lease_whose_response_is_lost_after_it_was_applied_is_run_once() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.outcomes = vec![(CompareAndSetOutcome::Failed(no_response()), true)];
    bench.pass(2 * PERIOD_MS);
    assert_eq!(bench.run_ids().len(), 2);
    assert!(matches!(bench.notices[..], [Notice::LeaseRecovered { .. }]), "{:?}", bench.notices);
}

#[test]
fn a_lease_whose_response_is_lost_and_that_was_not_applied_is_tried_again() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.outcomes = vec![(CompareAndSetOutcome::Failed(no_response()), false)];
    bench.pass(2 * PERIOD_MS);
    assert_eq!(bench.run_ids().len(), 2);
}

#[test]
fn a_lease_that_is_acquired_too_late_is_not_run() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    let mut out = Vec::new();
    // Up to its write, whose response then comes only after a pause.
    while !out.iter().any(|a| matches!(a, Action::CompareAndSet { .. })) {
        out.clear();
        bench.now.unix_ms += 5;
        bench.now.monotonic_ms += 5;
        bench.scheduler.tick(bench.now, &mut out);
    }
    bench.now.unix_ms += 4 * PERIOD_MS;
    bench.now.monotonic_ms += 4 * PERIOD_MS;
    bench.apply_action(out);
    assert!(bench.run_ids().is_empty(), "{:?}", bench.run_ids());
    assert!(matches!(bench.notices[..], [Notice::AcquiredTooLate { .. }]), "{:?}", bench.notices);
    let present = Job { name: "d".into(), period_ms: PERIOD_MS }.run_at(bench.now.unix_ms).0;
    bench.pass(PERIOD_MS);
    assert_eq!(bench.run_ids(), [present, present + PERIOD_MS], "and it continues with the present run");
}

#[test]
fn a_run_checks_its_deadline_on_both_clocks() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.pass(PERIOD_MS);
    let run = &bench.runs[0];
    let scheduled_ms = run.id.scheduled_unix_ms();
    let remaining_ms = run.deadline.unix_ms - scheduled_ms;
    let start =
        ClockReading { unix_ms: scheduled_ms, monotonic_ms: run.deadline.monotonic_ms - remaining_ms };
    assert!(run.may_start(start));
    let set_forward = ClockReading { unix_ms: run.deadline.unix_ms, ..start };
    assert!(!run.may_start(set_forward), "the Unix clock was put forward");
    let paused = ClockReading { monotonic_ms: run.deadline.monotonic_ms, ..start };
    assert!(!run.may_start(paused), "it was paused, and the Unix clock put back");
}

#[test]
fn while_the_store_is_unavailable_nothing_runs_and_few_calls_are_made() {
    let mut bench = Bench::new("a", &["d", "e", "f", "g"]);
    bench.settle();
    bench.unavailable = true;
    (bench.reads, bench.writes) = (0, 0);
    bench.pass(10 * PERIOD_MS);
    assert!(bench.run_ids().is_empty(), "{:?}", bench.run_ids());
    assert!(
        bench.reads + bench.writes <= 10 * PERIOD_MS as usize / 200 + 8,
        "{} and {}",
        bench.reads,
        bench.writes
    );
    assert!(
        bench.notices.iter().filter(|n| matches!(n, Notice::StoreUnavailable { .. })).count() == 1,
        "{:?}",
        bench.notices
    );
    bench.unavailable = false;
    bench.pass(2 * PERIOD_MS);
    assert!(bench.notices.contains(&Notice::StoreAvailable));
    assert!(bench.run_ids().len() >= 4, "all are back within two periods");
}

#[test]
fn a_store_that_comes_back_empty_is_seeded_anew() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.pass(PERIOD_MS);
    bench.store = LocalStore::default();
    bench.outcomes = vec![(CompareAndSetOutcome::SessionEnded, false)];
    bench.pass(3 * PERIOD_MS);
    assert!(bench.notices.contains(&Notice::StoreReset(ResetReason::SessionEnded)), "{:?}", bench.notices);
    assert!(bench.notices.iter().any(|n| matches!(n, Notice::Seeded { .. })));
    let ids = bench.run_ids();
    assert!(ids.len() >= 3 && ids.windows(2).all(|w| w[0] < w[1]), "{ids:?}");
}

#[test]
fn a_run_that_another_has_acquired_is_left_alone() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    // Another instance with another view of the live members takes every second run.
    for turn in 0..10 {
        let stored = bench.stored_lease("d");
        if turn % 2 == 0 {
            let run = RunId(stored.record.run.0 + PERIOD_MS);
            let record = LeaseRecord { run, holder: "b".into(), lease_id: 77 };
            bench.store.compare_and_set("d", record, stored.modify_index);
        }
        bench.pass(PERIOD_MS);
    }
    assert_eq!(bench.run_ids().len(), 5);
    assert_eq!(bench.scheduler.job_statuses()[0].last_run_here.0, *bench.run_ids().last().expect("a run"));
}

#[test]
fn a_record_far_ahead_is_reported_once_and_stops_only_its_job() {
    let mut bench = Bench::new("a", &["d", "e"]);
    bench.settle();
    let stored = bench.stored_lease("d");
    let run = RunId(stored.record.run.0 + 3_600_000);
    let record = LeaseRecord { run, holder: "b".into(), lease_id: 7 };
    bench.store.compare_and_set("d", record, stored.modify_index);
    bench.pass(5 * PERIOD_MS);
    assert!(bench.runs.iter().all(|run| run.job == "e"), "{:?}", bench.runs);
    assert_eq!(bench.notices.iter().filter(|n| matches!(n, Notice::RecordAheadOfClock { .. })).count(), 1);
}

#[test]
fn a_job_whose_period_changes_continues_with_greater_run_ids() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.pass(2 * PERIOD_MS);
    for period_ms in [7 * PERIOD_MS, 300] {
        let job = Job { name: "d".into(), period_ms };
        bench.scheduler.set_jobs(bench.now, vec![job]);
        let before = bench.runs.len();
        bench.pass(15 * PERIOD_MS);
        let count = (bench.runs.len() - before) as u64;
        assert!(count >= 15 * PERIOD_MS / period_ms - 1, "{count} with a period of {period_ms}");
    }
    assert!(bench.run_ids().windows(2).all(|w| w[0] < w[1]));
    bench.scheduler.set_jobs(bench.now, Vec::new());
    let before = bench.runs.len();
    bench.pass(5 * PERIOD_MS);
    assert_eq!(bench.runs.len(), before, "a job that is removed does not run");
}

#[test]
fn a_clock_that_is_put_back_repeats_no_run() {
    let mut bench = Bench::new("a", &["d"]);
    bench.settle();
    bench.pass(3 * PERIOD_MS);
    bench.now.unix_ms -= 2 * PERIOD_MS;
    bench.pass(4 * PERIOD_MS);
    let ids = bench.run_ids();
    assert!(ids.windows(2).all(|w| w[0] < w[1]), "{ids:?}");
    assert!(bench.notices.iter().any(|n| matches!(n, Notice::ClockStepped { by_ms } if *by_ms < 0)));
}
