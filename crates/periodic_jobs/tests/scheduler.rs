//! Tests of the scheduler of one instance, with simulated clocks and a lease store in memory that responds at once.

mod support;

use job_lease::{
    CompareAndSetOutcome, LeaseRecord, LocalStore, RunId, StoreError, StoreErrorCause, StoredLease,
};
use periodic_jobs::rendezvous::{JobHash, MemberHash, Members, Ranking};
use periodic_jobs::{
    Action, ClockReading, Job, Notice, ResetReason, Run, Scheduler, StoreCall, StoreResponse,
};
use std::collections::VecDeque;
use std::time::Duration;
use support::{clock_reading, config};
use timestamps::UnixTime;

/// The period of the jobs, unless a test sets another.
const PERIOD: Duration = Duration::from_secs(1);
/// The simulated time between two ticks of the scheduler.
const TICK: Duration = Duration::from_millis(5);

fn no_response() -> StoreError {
    StoreError::OutcomeUnknown(StoreErrorCause::NoResponse)
}

fn job(name: &str, period: Duration) -> Job {
    Job { name: name.into(), period }
}

/// Returns the run that is scheduled `delay` after `run`.
fn run_later_by(run: RunId, delay: Duration) -> RunId {
    (UnixTime::from(run) + delay).into()
}

/// Returns members that all rank before the instance "a" for this job, more than a job has ranks.
fn higher_ranked_members(job: &str) -> Vec<String> {
    let mut members = Members::default();
    let names = (0..64).map(|number| format!("m{number}"));
    members.replace(names.clone().chain(["a".into()]));
    let ranking = Ranking::new(JobHash::from_name(job), &members, 65);
    let rank = |name: &str| ranking.rank(MemberHash::from_name(name));
    let higher: Vec<String> = names.filter(|name| rank(name) < rank("a")).collect();
    assert!(higher.len() > config("a", 1).standbys, "{higher:?}");
    higher
}

/// An outcome that the store returns for a write in place of the actual one.
struct InjectedOutcome {
    outcome: CompareAndSetOutcome,
    /// Whether the store applies the write, whatever the returned outcome is.
    is_applied: bool,
}

/// The numbers of reads and writes that the scheduler has requested from the store.
#[derive(Debug, Default, PartialEq, Eq)]
struct CallCounts {
    reads: usize,
    writes: usize,
}

/// Drives a scheduler with its lease store, and records the started runs and the notices.
struct Harness {
    scheduler: Scheduler,
    store: LocalStore,
    now: ClockReading,
    runs: Vec<Run>,
    notices: Vec<Notice>,
    calls: CallCounts,
    /// The outcomes to inject into the next writes.
    injected_outcomes: VecDeque<InjectedOutcome>,
    store_unavailable: bool,
}

impl Harness {
    fn new(jobs: &[&str]) -> Self {
        let mut scheduler = Scheduler::new(config("a", 1));
        let now = clock_reading(1_000_000, 5_000);
        scheduler.set_jobs(now, jobs.iter().map(|name| job(name, PERIOD)).collect());
        Self {
            scheduler,
            store: LocalStore::default(),
            now,
            runs: Vec::new(),
            notices: Vec::new(),
            calls: CallCounts::default(),
            injected_outcomes: VecDeque::new(),
            store_unavailable: false,
        }
    }

    /// Returns a harness whose jobs are seeded and running. No runs, notices or calls are recorded yet.
    fn with_seeded_jobs(jobs: &[&str]) -> Self {
        let mut harness = Self::new(jobs);
        harness.advance(3 * PERIOD);
        harness.runs.clear();
        harness.notices.clear();
        harness.calls = CallCounts::default();
        harness
    }

    /// Carries out actions, and the further actions that follow from the store's responses.
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
            && let Some(injected) = self.injected_outcomes.pop_front()
        {
            return self.inject(call, injected);
        }
        if self.store_unavailable { call.fail(no_response()) } else { call.apply_to(&mut self.store) }
    }

    /// Returns the response to a write with an injected outcome.
    fn inject(&mut self, call: StoreCall, injected: InjectedOutcome) -> StoreResponse {
        if injected.is_applied {
            call.clone().apply_to(&mut self.store);
        }
        match call.fail(no_response()) {
            StoreResponse::CompareAndSetDone { call, job, record, .. } => {
                StoreResponse::CompareAndSetDone { call, job, record, outcome: injected.outcome }
            }
            response => panic!("{response:?} is not the response to a write"),
        }
    }

    /// Lets the simulated time pass, with regular ticks of the scheduler.
    fn advance(&mut self, duration: Duration) {
        for _ in 0..duration.as_millis() / TICK.as_millis() {
            self.advance_clocks(TICK);
            let mut actions = Vec::new();
            self.scheduler.tick(self.now, &mut actions);
            self.apply_actions(actions);
        }
    }

    /// Lets the simulated time pass until the scheduler requests a write, and returns the write without making it.
    fn advance_to_write(&mut self) -> StoreCall {
        let is_write = |action: &Action| matches!(action, Action::CallStore(StoreCall::CompareAndSet { .. }));
        loop {
            self.advance_clocks(TICK);
            let mut actions = Vec::new();
            self.scheduler.tick(self.now, &mut actions);
            let write = actions.iter().position(is_write).map(|position| actions.swap_remove(position));
            self.apply_actions(actions);
            if let Some(Action::CallStore(write)) = write {
                return write;
            }
        }
    }

    /// Advances both clocks without a tick, as in a pause of the process.
    fn advance_clocks(&mut self, duration: Duration) {
        self.now = self.now + duration;
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

    /// Lets another instance acquire the run that is scheduled `delay` after the run of the stored lease.
    fn acquire_by_other_instance(&mut self, job: &str, delay: Duration) {
        let stored = self.stored_lease(job);
        let run = run_later_by(stored.record.run, delay);
        let record = LeaseRecord { run, holder: "b".into(), lease_id: 77 };
        self.store.compare_and_set(job, record, stored.modify_index);
    }
}

#[test]
fn a_single_instance_starts_each_run_once() {
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    harness.advance(10 * PERIOD);
    let ids = harness.run_ids();
    assert_eq!(ids.len(), 10);
    assert!(ids.windows(2).all(|pair| pair[1] == run_later_by(pair[0], PERIOD)), "{ids:?}");
    assert_eq!(harness.notices, []);
}

#[test]
fn the_owner_acquires_each_run_with_one_call() {
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    harness.advance(10 * PERIOD);
    assert_eq!(harness.calls, CallCounts { reads: 0, writes: 10 });
}

#[test]
fn an_absent_key_is_seeded_and_its_run_does_not_start() {
    let mut harness = Harness::new(&["d"]);
    harness.advance(PERIOD);
    assert!(matches!(harness.notices[..], [Notice::Seeded { .. }]), "{:?}", harness.notices);
    let Notice::Seeded { run: seed, .. } = harness.notices[0] else { unreachable!() };
    harness.advance(2 * PERIOD);
    assert!(harness.run_ids()[0] > seed);
}

#[test]
fn a_run_starts_once_if_its_write_is_applied_but_the_response_is_lost() {
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    let outcome = CompareAndSetOutcome::Failed(no_response());
    harness.injected_outcomes.push_back(InjectedOutcome { outcome, is_applied: true });
    harness.advance(2 * PERIOD);
    assert_eq!(harness.run_ids().len(), 2);
    assert!(matches!(harness.notices[..], [Notice::LeaseRecovered { .. }]), "{:?}", harness.notices);
}

#[test]
fn a_write_that_is_lost_before_it_is_applied_is_retried() {
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    let outcome = CompareAndSetOutcome::Failed(no_response());
    harness.injected_outcomes.push_back(InjectedOutcome { outcome, is_applied: false });
    harness.advance(2 * PERIOD);
    assert_eq!(harness.run_ids().len(), 2);
}

#[test]
fn a_run_acquired_after_its_deadline_does_not_start() {
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    let write = harness.advance_to_write();
    // The process pauses before it receives the response.
    harness.advance_clocks(4 * PERIOD);
    harness.apply_actions(vec![Action::CallStore(write)]);
    assert!(harness.run_ids().is_empty(), "{:?}", harness.run_ids());
    assert!(matches!(harness.notices[..], [Notice::AcquiredTooLate { .. }]), "{:?}", harness.notices);
    let current_run = job("d", PERIOD).run_at(harness.now.unix);
    harness.advance(PERIOD);
    assert_eq!(
        harness.run_ids(),
        [current_run, run_later_by(current_run, PERIOD)],
        "the scheduler continues with the current run"
    );
}

#[test]
fn a_run_may_not_start_if_its_deadline_has_passed_on_either_clock() {
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    harness.advance(PERIOD);
    let run = &harness.runs[0];
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
fn no_run_starts_and_calls_are_limited_while_the_store_is_unavailable() {
    let mut harness = Harness::with_seeded_jobs(&["d", "e", "f", "g"]);
    harness.store_unavailable = true;
    harness.advance(10 * PERIOD);
    assert!(harness.run_ids().is_empty(), "{:?}", harness.run_ids());
    let max_trial_calls = 10 * PERIOD.as_millis() / config("a", 1).store_retry_interval.as_millis();
    assert!(
        harness.calls.reads + harness.calls.writes <= max_trial_calls as usize + 8,
        "{:?}",
        harness.calls
    );
    let notices = harness.count_notices(|notice| matches!(notice, Notice::StoreUnavailable { .. }));
    assert_eq!(notices, 1, "{:?}", harness.notices);
    harness.store_unavailable = false;
    harness.advance(2 * PERIOD);
    assert!(harness.notices.contains(&Notice::StoreAvailable));
    assert!(harness.run_ids().len() >= 4, "all jobs run again within two periods");
}

#[test]
fn a_job_is_seeded_again_after_the_store_has_lost_its_data() {
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    harness.advance(PERIOD);
    harness.store = LocalStore::default();
    harness
        .injected_outcomes
        .push_back(InjectedOutcome { outcome: CompareAndSetOutcome::SessionEnded, is_applied: false });
    harness.advance(3 * PERIOD);
    assert!(
        harness.notices.contains(&Notice::StoreReset(ResetReason::SessionEnded)),
        "{:?}",
        harness.notices
    );
    assert!(harness.count_notices(|notice| matches!(notice, Notice::Seeded { .. })) > 0);
    assert!(harness.runs.len() >= 3, "{:?}", harness.runs);
    harness.assert_run_ids_increase();
}

#[test]
fn a_run_acquired_by_another_instance_does_not_start() {
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    // Another instance, which has a different view of the live members, acquires every second run.
    for period in 0..10 {
        if period % 2 == 0 {
            harness.acquire_by_other_instance("d", PERIOD);
        }
        harness.advance(PERIOD);
    }
    assert_eq!(harness.run_ids().len(), 5);
    assert_eq!(
        harness.scheduler.job_statuses()[0].last_started_run,
        *harness.run_ids().last().expect("a run")
    );
}

#[test]
fn a_record_ahead_of_all_clocks_is_reported_once_and_stops_only_its_own_job() {
    let mut harness = Harness::with_seeded_jobs(&["d", "e"]);
    harness.acquire_by_other_instance("d", Duration::from_secs(3_600));
    harness.advance(5 * PERIOD);
    assert!(harness.runs.iter().all(|run| run.job == "e"), "{:?}", harness.runs);
    assert_eq!(harness.count_notices(|notice| matches!(notice, Notice::RecordAheadOfClock { .. })), 1);
}

#[test]
fn run_ids_increase_when_the_period_of_a_job_changes() {
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    harness.advance(2 * PERIOD);
    for period in [7 * PERIOD, Duration::from_millis(300)] {
        harness.scheduler.set_jobs(harness.now, vec![job("d", period)]);
        let runs_before = harness.runs.len();
        harness.advance(15 * PERIOD);
        let count = harness.runs.len() - runs_before;
        let periods = (15 * PERIOD).as_millis() / period.as_millis();
        assert!(count >= periods as usize - 1, "only {count} runs started with a period of {period:?}");
    }
    harness.assert_run_ids_increase();
    harness.scheduler.set_jobs(harness.now, Vec::new());
    let runs_before = harness.runs.len();
    harness.advance(5 * PERIOD);
    assert_eq!(harness.runs.len(), runs_before, "a removed job does not run");
}

/// Regression: a job that one reload removed and the next one added again in the same period started its run a second time.
#[test]
fn a_job_that_is_removed_and_added_again_repeats_no_run() {
    let mut harness = Harness::with_seeded_jobs(&["d", "e"]);
    for away in [Duration::ZERO, PERIOD / 4, PERIOD / 2] {
        harness.advance(PERIOD + PERIOD / 10);
        harness.scheduler.set_jobs(harness.now, vec![job("e", PERIOD)]);
        harness.advance(away);
        harness.scheduler.set_jobs(harness.now, vec![job("e", PERIOD), job("d", PERIOD)]);
        harness.advance(2 * PERIOD);
    }
    for name in ["d", "e"] {
        let ids: Vec<RunId> = harness.runs.iter().filter(|run| run.job == name).map(|run| run.id).collect();
        assert!(ids.len() >= 8, "{name}: {ids:?}");
        assert!(ids.windows(2).all(|pair| pair[0] < pair[1]), "{name}: {ids:?}");
    }
}

/// A write whose response was lost may be applied after the lease was read, so that the next write conflicts with it.
#[test]
fn a_run_starts_once_if_its_first_write_is_applied_after_the_lease_was_read() {
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    let lost = CompareAndSetOutcome::Failed(no_response());
    harness.injected_outcomes.push_back(InjectedOutcome { outcome: lost, is_applied: false });
    let conflict = CompareAndSetOutcome::Conflict;
    harness.injected_outcomes.push_back(InjectedOutcome { outcome: conflict, is_applied: true });
    harness.advance(2 * PERIOD);
    assert_eq!(harness.run_ids().len(), 2);
    harness.assert_run_ids_increase();
    assert!(matches!(harness.notices[..], [Notice::LeaseRecovered { .. }]), "{:?}", harness.notices);
}

#[test]
fn a_clock_step_backwards_repeats_no_run() {
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    harness.advance(3 * PERIOD);
    harness.now.unix = harness.now.unix.saturating_sub(2 * PERIOD);
    harness.advance(4 * PERIOD);
    harness.assert_run_ids_increase();
    let stepped_back = |notice: &Notice| matches!(notice, Notice::ClockStepped { by_ms } if *by_ms < 0);
    assert!(harness.count_notices(stepped_back) > 0, "{:?}", harness.notices);
}

/// Regression: a job whose write and read had failed never ran again if the jobs were set before its next attempt, as each change
/// of the endpoint list and each reload does.
#[test]
fn a_job_runs_again_after_an_outage_in_which_the_jobs_were_set() {
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    harness.store_unavailable = true;
    while harness.calls.reads == 0 {
        harness.advance(TICK);
    }
    harness.scheduler.set_jobs(harness.now, vec![job("d", PERIOD), job("e", PERIOD)]);
    harness.store_unavailable = false;
    harness.advance(4 * PERIOD);
    let runs = harness.runs.iter().filter(|run| run.job == "d").count();
    assert!(runs >= 3, "{:?}", harness.runs);
}

/// Regression: a job whose write was pending when this instance lost its rank and its session was never attempted again, also
/// after this instance had become its owner once more.
#[test]
fn a_job_runs_again_if_rank_and_session_were_lost_during_a_write() {
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    let write = harness.advance_to_write();
    drop(write.clone().apply_to(&mut harness.store));
    let lost_response = write.fail(no_response());
    harness.scheduler.set_members(harness.now, higher_ranked_members("d"));
    let session = harness.scheduler.session().cloned().expect("a session");
    let session_ended = StoreResponse::SessionRenewed { session, result: Ok(false) };
    for response in [session_ended, lost_response] {
        harness.scheduler.handle_store_response(harness.now, response, &mut Vec::new());
    }
    harness.advance(PERIOD / 2);
    assert_eq!(harness.runs.len(), 1, "this instance holds the lease, so no other one starts the run");
    harness.scheduler.set_members(harness.now, []);
    harness.advance(4 * PERIOD);
    assert!(harness.runs.len() >= 4, "{:?}", harness.runs);
    harness.assert_run_ids_increase();
}

/// Regression: after a step of the clock forwards and back during an outage, a job whose lease was unknown waited until the clock
/// reached the time to which it had been stepped.
#[test]
fn a_job_runs_again_after_a_clock_step_that_is_taken_back_during_an_outage() {
    const STEP: Duration = Duration::from_secs(3_600);
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    harness.store_unavailable = true;
    harness.now.unix = harness.now.unix + STEP;
    harness.advance(PERIOD + PERIOD / 2);
    harness.now.unix = harness.now.unix.saturating_sub(STEP);
    harness.store_unavailable = false;
    harness.advance(4 * PERIOD);
    assert!(harness.runs.len() >= 3, "{:?}", harness.runs);
}

/// Regression: if a reload in an outage shortened the period of a job whose lease was unknown, the job waited for the time that
/// followed from its previous period.
#[test]
fn a_job_runs_in_its_new_period_after_an_outage_in_which_the_period_was_shortened() {
    const LONG_PERIOD: Duration = Duration::from_secs(600);
    let mut harness = Harness::with_seeded_jobs(&["d"]);
    harness.scheduler.set_jobs(harness.now, vec![job("d", LONG_PERIOD)]);
    let write = harness.advance_to_write();
    harness.store_unavailable = true;
    harness.apply_actions(vec![Action::CallStore(write)]);
    harness.advance(TICK);
    harness.scheduler.set_jobs(harness.now, vec![job("d", PERIOD)]);
    harness.store_unavailable = false;
    harness.advance(4 * PERIOD);
    assert!(harness.runs.len() >= 3, "{:?}", harness.runs);
}
