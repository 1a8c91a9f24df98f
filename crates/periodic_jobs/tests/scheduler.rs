//! The scheduler of one instance with a lease store in memory that responds at once.

mod support;

use job_lease::{
    CompareAndSetOutcome, LeaseRecord, LocalStore, RunId, StoreError, StoreErrorCause, StoredLease,
};
use periodic_jobs::{
    Action, ClockReading, Job, Notice, ResetReason, Run, Scheduler, StoreCall, StoreResponse,
};
use std::time::Duration;
use support::{clocks, config};
use timestamps::UnixTime;

const PERIOD: Duration = Duration::from_secs(1);
/// Time between two ticks of the simulated time.
const TICK: Duration = Duration::from_millis(5);

fn no_response() -> StoreError {
    StoreError::OutcomeUnknown(StoreErrorCause::NoResponse)
}

fn job(name: &str, period: Duration) -> Job {
    Job { name: name.into(), period }
}

/// Returns the run that is scheduled this much later.
fn run_after(run: RunId, span: Duration) -> RunId {
    (UnixTime::from(run) + span).into()
}

/// An outcome that the store returns for a write in place of the real one.
struct InjectedOutcome {
    outcome: CompareAndSetOutcome,
    /// Whether the write is applied nevertheless.
    applied: bool,
}

/// The number of calls to the store.
#[derive(Debug, Default, PartialEq, Eq)]
struct CallCounts {
    reads: usize,
    writes: usize,
}

/// A scheduler and its lease store.
struct TestBed {
    scheduler: Scheduler,
    store: LocalStore,
    now: ClockReading,
    runs: Vec<Run>,
    notices: Vec<Notice>,
    calls: CallCounts,
    /// For the next write.
    injected: Option<InjectedOutcome>,
    store_unavailable: bool,
}

impl TestBed {
    fn new(jobs: &[&str]) -> Self {
        let mut scheduler = Scheduler::new(config("a", 1));
        let now = clocks(1_000_000, 5_000);
        scheduler.set_jobs(now, jobs.iter().map(|name| job(name, PERIOD)).collect());
        Self {
            scheduler,
            store: LocalStore::default(),
            now,
            runs: Vec::new(),
            notices: Vec::new(),
            calls: CallCounts::default(),
            injected: None,
            store_unavailable: false,
        }
    }

    /// A test bed whose jobs are seeded and running.
    fn settled(jobs: &[&str]) -> Self {
        let mut bed = Self::new(jobs);
        bed.advance(3 * PERIOD);
        bed.runs.clear();
        bed.notices.clear();
        bed.calls = CallCounts::default();
        bed
    }

    /// Applies actions, and those that follow from them.
    fn apply_actions(&mut self, mut actions: Vec<Action>) {
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                match action {
                    Action::CallStore(call) => {
                        let response = self.call_store(call);
                        self.scheduler.handle_store_response(self.now, response, &mut next);
                    }
                    Action::StartRun(run) => self.runs.push(run),
                    Action::Notify(notice) => self.notices.push(notice),
                }
            }
            actions = next;
        }
    }

    fn call_store(&mut self, call: StoreCall) -> StoreResponse {
        match call {
            StoreCall::ReadLeases { .. } => self.calls.reads += 1,
            StoreCall::CompareAndSet { .. } => self.calls.writes += 1,
            StoreCall::OpenSession | StoreCall::RenewSession(_) => {}
        }
        if matches!(call, StoreCall::CompareAndSet { .. })
            && let Some(injected) = self.injected.take()
        {
            return self.inject(call, injected);
        }
        if self.store_unavailable { call.fail(no_response()) } else { call.apply_to(&mut self.store) }
    }

    /// Returns the response to a write with an injected outcome.
    fn inject(&mut self, call: StoreCall, injected: InjectedOutcome) -> StoreResponse {
        if injected.applied {
            call.clone().apply_to(&mut self.store);
        }
        match call.fail(no_response()) {
            StoreResponse::CompareAndSetDone { call, job, record, .. } => {
                StoreResponse::CompareAndSetDone { call, job, record, outcome: injected.outcome }
            }
            response => panic!("{response:?} is no response to a write"),
        }
    }

    fn advance(&mut self, span: Duration) {
        for _ in 0..span.as_millis() / TICK.as_millis() {
            self.move_clocks(TICK);
            let mut out = Vec::new();
            self.scheduler.tick(self.now, &mut out);
            self.apply_actions(out);
        }
    }

    /// Moves both clocks without a tick, as in a pause of the process.
    fn move_clocks(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    fn run_ids(&self) -> Vec<RunId> {
        self.runs.iter().map(|run| run.id).collect()
    }

    fn assert_run_ids_increase(&self) {
        let ids = self.run_ids();
        assert!(ids.windows(2).all(|pair| pair[0] < pair[1]), "{ids:?}");
    }

    fn count_notices(&self, is_counted: impl Fn(&Notice) -> bool) -> usize {
        self.notices.iter().filter(|notice| is_counted(notice)).count()
    }

    /// Returns the stored lease of a job.
    fn stored_lease(&self, job: &str) -> StoredLease {
        self.store.read(&[job.into()]).leases[0].lease.clone().expect("a lease")
    }

    /// Writes a lease of another instance that is this much later than the stored one.
    fn acquire_elsewhere(&mut self, job: &str, later: Duration) {
        let stored = self.stored_lease(job);
        let run = run_after(stored.record.run, later);
        let record = LeaseRecord { run, holder: "b".into(), lease_id: 77 };
        self.store.compare_and_set(job, record, stored.modify_index);
    }
}

#[test]
fn a_single_instance_starts_each_run_once() {
    let mut bed = TestBed::settled(&["d"]);
    bed.advance(10 * PERIOD);
    let ids = bed.run_ids();
    assert_eq!(ids.len(), 10);
    assert!(ids.windows(2).all(|pair| pair[1] == run_after(pair[0], PERIOD)), "{ids:?}");
    assert_eq!(bed.notices, []);
}

#[test]
fn the_owner_acquires_each_run_with_one_call() {
    let mut bed = TestBed::settled(&["d"]);
    bed.advance(10 * PERIOD);
    assert_eq!(bed.calls, CallCounts { reads: 0, writes: 10 });
}

#[test]
fn an_absent_key_is_seeded_and_its_run_does_not_start() {
    let mut bed = TestBed::new(&["d"]);
    bed.advance(PERIOD);
    assert!(matches!(bed.notices[..], [Notice::Seeded { .. }]), "{:?}", bed.notices);
    let Notice::Seeded { run: seed, .. } = bed.notices[0] else { unreachable!() };
    bed.advance(2 * PERIOD);
    assert!(bed.run_ids()[0] > seed);
}

#[test]
fn a_run_starts_once_if_the_response_to_its_applied_write_is_lost() {
    let mut bed = TestBed::settled(&["d"]);
    let outcome = CompareAndSetOutcome::Failed(no_response());
    bed.injected = Some(InjectedOutcome { outcome, applied: true });
    bed.advance(2 * PERIOD);
    assert_eq!(bed.run_ids().len(), 2);
    assert!(matches!(bed.notices[..], [Notice::LeaseRecovered { .. }]), "{:?}", bed.notices);
}

#[test]
fn a_write_that_was_lost_is_retried() {
    let mut bed = TestBed::settled(&["d"]);
    let outcome = CompareAndSetOutcome::Failed(no_response());
    bed.injected = Some(InjectedOutcome { outcome, applied: false });
    bed.advance(2 * PERIOD);
    assert_eq!(bed.run_ids().len(), 2);
}

#[test]
fn a_run_acquired_after_its_deadline_does_not_start() {
    let mut bed = TestBed::settled(&["d"]);
    let mut out = Vec::new();
    let is_write = |action: &Action| matches!(action, Action::CallStore(StoreCall::CompareAndSet { .. }));
    while !out.iter().any(is_write) {
        out.clear();
        bed.move_clocks(TICK);
        bed.scheduler.tick(bed.now, &mut out);
    }
    // The response arrives after a pause.
    bed.move_clocks(4 * PERIOD);
    bed.apply_actions(out);
    assert!(bed.run_ids().is_empty(), "{:?}", bed.run_ids());
    assert!(matches!(bed.notices[..], [Notice::AcquiredTooLate { .. }]), "{:?}", bed.notices);
    let current_run = job("d", PERIOD).run_at(bed.now.unix);
    bed.advance(PERIOD);
    assert_eq!(
        bed.run_ids(),
        [current_run, run_after(current_run, PERIOD)],
        "continues with the current run"
    );
}

#[test]
fn a_run_may_not_start_if_its_deadline_has_passed_on_either_clock() {
    let mut bed = TestBed::settled(&["d"]);
    bed.advance(PERIOD);
    let run = &bed.runs[0];
    let scheduled = UnixTime::from(run.id);
    let remaining = run.deadline.unix.saturating_since(scheduled);
    let start = ClockReading { unix: scheduled, monotonic: run.deadline.monotonic.saturating_sub(remaining) };
    assert!(run.may_start(start));
    let stepped_forward = ClockReading { unix: run.deadline.unix, ..start };
    assert!(!run.may_start(stepped_forward), "the Unix clock was stepped forward");
    let paused = ClockReading { monotonic: run.deadline.monotonic, ..start };
    assert!(!run.may_start(paused), "the instance was paused and the Unix clock stepped back");
}

#[test]
fn while_the_store_is_unavailable_no_run_starts_and_calls_are_limited() {
    let mut bed = TestBed::settled(&["d", "e", "f", "g"]);
    bed.store_unavailable = true;
    bed.advance(10 * PERIOD);
    assert!(bed.run_ids().is_empty(), "{:?}", bed.run_ids());
    let max_trials = 10 * PERIOD.as_millis() / config("a", 1).store_retry_interval.as_millis();
    assert!(bed.calls.reads + bed.calls.writes <= max_trials as usize + 8, "{:?}", bed.calls);
    let notices = bed.count_notices(|notice| matches!(notice, Notice::StoreUnavailable { .. }));
    assert_eq!(notices, 1, "{:?}", bed.notices);
    bed.store_unavailable = false;
    bed.advance(2 * PERIOD);
    assert!(bed.notices.contains(&Notice::StoreAvailable));
    assert!(bed.run_ids().len() >= 4, "all jobs run again within two periods");
}

#[test]
fn a_store_that_lost_its_data_is_seeded_again() {
    let mut bed = TestBed::settled(&["d"]);
    bed.advance(PERIOD);
    bed.store = LocalStore::default();
    bed.injected = Some(InjectedOutcome { outcome: CompareAndSetOutcome::SessionEnded, applied: false });
    bed.advance(3 * PERIOD);
    assert!(bed.notices.contains(&Notice::StoreReset(ResetReason::SessionEnded)), "{:?}", bed.notices);
    assert!(bed.count_notices(|notice| matches!(notice, Notice::Seeded { .. })) > 0);
    assert!(bed.runs.len() >= 3, "{:?}", bed.runs);
    bed.assert_run_ids_increase();
}

#[test]
fn a_run_acquired_by_another_instance_does_not_start() {
    let mut bed = TestBed::settled(&["d"]);
    // Another instance with a different view of the members acquires every second run.
    for period in 0..10 {
        if period % 2 == 0 {
            bed.acquire_elsewhere("d", PERIOD);
        }
        bed.advance(PERIOD);
    }
    assert_eq!(bed.run_ids().len(), 5);
    assert_eq!(bed.scheduler.job_statuses()[0].last_run_here, *bed.run_ids().last().expect("a run"));
}

#[test]
fn a_record_ahead_of_all_clocks_is_reported_once_and_stops_only_its_job() {
    let mut bed = TestBed::settled(&["d", "e"]);
    bed.acquire_elsewhere("d", Duration::from_secs(3_600));
    bed.advance(5 * PERIOD);
    assert!(bed.runs.iter().all(|run| run.job == "e"), "{:?}", bed.runs);
    assert_eq!(bed.count_notices(|notice| matches!(notice, Notice::RecordAheadOfClock { .. })), 1);
}

#[test]
fn run_ids_increase_when_the_period_of_a_job_changes() {
    let mut bed = TestBed::settled(&["d"]);
    bed.advance(2 * PERIOD);
    for period in [7 * PERIOD, Duration::from_millis(300)] {
        bed.scheduler.set_jobs(bed.now, vec![job("d", period)]);
        let before = bed.runs.len();
        bed.advance(15 * PERIOD);
        let count = bed.runs.len() - before;
        let periods = (15 * PERIOD).as_millis() / period.as_millis();
        assert!(count >= periods as usize - 1, "{count} with a period of {period:?}");
    }
    bed.assert_run_ids_increase();
    bed.scheduler.set_jobs(bed.now, Vec::new());
    let before = bed.runs.len();
    bed.advance(5 * PERIOD);
    assert_eq!(bed.runs.len(), before, "a removed job does not run");
}

#[test]
fn a_clock_step_backwards_repeats_no_run() {
    let mut bed = TestBed::settled(&["d"]);
    bed.advance(3 * PERIOD);
    bed.now.unix = bed.now.unix.saturating_sub(2 * PERIOD);
    bed.advance(4 * PERIOD);
    bed.assert_run_ids_increase();
    let stepped_back = |notice: &Notice| matches!(notice, Notice::ClockStepped { by_ms } if *by_ms < 0);
    assert!(bed.count_notices(stepped_back) > 0, "{:?}", bed.notices);
}
