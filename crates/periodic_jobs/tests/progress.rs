//! Random orders of events. After each event, each job has an event ahead that continues it, and no run starts twice.

mod support;

use job_lease::{CompareAndSetOutcome, LeaseRecord, LocalStore, RunId, Session, StoreError, StoreErrorCause};
use periodic_jobs::{
    Action, CallId, ClockReading, Job, JobStatus, NextStep, Scheduler, StoreCall, StoreResponse,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use support::{clock_reading, config};
use timestamps::UnixTime;

const SEQUENCE_COUNT: u64 = 400;
const EVENTS_PER_SEQUENCE: usize = 400;
const LOCAL_INSTANCE: &str = "a";
const JOB_NAMES: [&str; 4] = ["d", "e", "f", "g"];
/// More members than a job has ranks, so that this instance may be neither owner nor standby.
const OTHER_MEMBERS: [&str; 6] = ["b", "c", "h", "i", "j", "k"];
const PERIODS_MS: [u64; 3] = [300, 1_000, 10_000];
const MAX_PERIOD: Duration = Duration::from_millis(10_000);
/// The simulated time between two ticks once the events have ended.
const TICK: Duration = Duration::from_millis(20);
/// The lease id of another instance.
const OTHER_LEASE_ID: u64 = 77;

#[derive(Clone, Copy, Debug)]
enum Event {
    TimePasses,
    ResponseArrives,
    ResponseIsLost,
    LostWriteIsApplied,
    SessionEnds,
    JobsChange,
    MembersChange,
    ClockSteps,
    OtherInstanceAcquires,
    IndexDecreases,
}

impl Event {
    /// Draws an event. Time passes and responses arrive more often than anything else happens.
    fn draw(rng: &mut StdRng) -> Self {
        match rng.random_range(0..20) {
            0..6 => Self::TimePasses,
            6..11 => Self::ResponseArrives,
            11..13 => Self::ResponseIsLost,
            13 => Self::LostWriteIsApplied,
            14 => Self::SessionEnds,
            15 => Self::JobsChange,
            16 => Self::MembersChange,
            17 => Self::ClockSteps,
            18 => Self::OtherInstanceAcquires,
            _ => Self::IndexDecreases,
        }
    }
}

/// Drives a scheduler through a random sequence of events.
struct Sequence {
    seed: u64,
    rng: StdRng,
    scheduler: Scheduler,
    store: LocalStore,
    now: ClockReading,
    jobs: Vec<Job>,
    calls_in_flight: Vec<StoreCall>,
    /// Writes whose responses were lost before the store has applied them.
    lost_writes: Vec<StoreCall>,
    sessions_opened: usize,
    /// The ids of the sessions that have not ended.
    sessions: HashSet<String>,
    /// Whether the next read returns a lower index of the store than before.
    has_index_decreased: bool,
    started_runs: HashSet<(String, RunId)>,
}

impl Sequence {
    fn new(seed: u64) -> Self {
        let mut sequence = Self {
            seed,
            rng: StdRng::seed_from_u64(seed),
            scheduler: Scheduler::new(config(LOCAL_INSTANCE, seed)),
            store: LocalStore::default(),
            now: clock_reading(10_000_000, 5_000),
            jobs: Vec::new(),
            calls_in_flight: Vec::new(),
            lost_writes: Vec::new(),
            sessions_opened: 0,
            sessions: HashSet::new(),
            has_index_decreased: false,
            started_runs: HashSet::new(),
        };
        sequence.set_jobs(&JOB_NAMES);
        sequence
    }

    fn handle_random_event(&mut self) -> Event {
        let event = Event::draw(&mut self.rng);
        match event {
            Event::TimePasses => {
                let elapsed = Duration::from_millis(self.rng.random_range(1..400));
                self.advance(elapsed);
            }
            Event::ResponseArrives => self.respond_to_random_call(),
            Event::ResponseIsLost => self.fail_random_call(),
            Event::LostWriteIsApplied => self.apply_lost_write(),
            Event::SessionEnds => self.sessions.clear(),
            Event::JobsChange => {
                let kept: Vec<&str> = JOB_NAMES.into_iter().filter(|_| self.rng.random_bool(0.9)).collect();
                self.set_jobs(&kept);
            }
            Event::MembersChange => {
                let alive = OTHER_MEMBERS.into_iter().filter(|_| self.rng.random_bool(0.5));
                self.scheduler.set_members(self.now, alive.map(String::from));
            }
            Event::ClockSteps => self.step_clock(),
            Event::OtherInstanceAcquires => self.acquire_by_other_instance(),
            Event::IndexDecreases => self.has_index_decreased = true,
        }
        event
    }

    /// Sets these jobs. Each period is sometimes changed.
    fn set_jobs(&mut self, names: &[&str]) {
        let periods: HashMap<String, Duration> =
            self.jobs.drain(..).map(|job| (job.name, job.period)).collect();
        for &name in names {
            let drawn = Duration::from_millis(PERIODS_MS[self.rng.random_range(0..PERIODS_MS.len())]);
            let kept = periods.get(name).filter(|_| self.rng.random_bool(0.8));
            self.jobs.push(Job { name: name.into(), period: kept.copied().unwrap_or(drawn) });
        }
        self.scheduler.set_jobs(self.now, self.jobs.clone());
    }

    fn advance(&mut self, elapsed: Duration) {
        self.now = self.now + elapsed;
        let mut actions = Vec::new();
        self.scheduler.tick(self.now, &mut actions);
        self.apply_actions(actions);
    }

    /// Steps the Unix clock by up to an hour, forwards or backwards.
    fn step_clock(&mut self) {
        let magnitude = Duration::from_millis([400, 5_000, 3_600_000][self.rng.random_range(0..3)]);
        let stepped_forwards = self.rng.random_bool(0.5);
        let unix = self.now.unix;
        self.now.unix = if stepped_forwards { unix + magnitude } else { unix.saturating_sub(magnitude) };
        self.advance(Duration::from_millis(1));
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::CallStore(call) => self.calls_in_flight.push(call),
                Action::StartRun(run) => {
                    let is_first_start = self.started_runs.insert((run.job.clone(), run.id));
                    assert!(is_first_start, "seed {}: {run:?} started twice", self.seed);
                }
                Action::Notify(_) => {}
            }
        }
    }

    fn take_random_call(&mut self) -> Option<StoreCall> {
        let count = self.calls_in_flight.len();
        (count > 0).then(|| self.calls_in_flight.swap_remove(self.rng.random_range(0..count)))
    }

    fn respond_to_random_call(&mut self) {
        if let Some(call) = self.take_random_call() {
            let response = self.apply(call);
            self.handle_response(response);
        }
    }

    fn respond_to_all_calls(&mut self) {
        while !self.calls_in_flight.is_empty() {
            self.respond_to_random_call();
        }
    }

    /// Applies a call to the store and returns its response.
    fn apply(&mut self, call: StoreCall) -> StoreResponse {
        match call {
            StoreCall::OpenSession => {
                self.sessions_opened += 1;
                let session = Session { id: format!("s{}", self.sessions_opened), key: String::new() };
                self.sessions.insert(session.id.clone());
                StoreResponse::SessionOpened(Ok(session))
            }
            StoreCall::RenewSession(session) => {
                let exists = self.sessions.contains(&session.id);
                StoreResponse::SessionRenewed { session, result: Ok(exists) }
            }
            StoreCall::CompareAndSet { call, job, record, ref session, .. }
                if !self.sessions.contains(&session.id) =>
            {
                let outcome = CompareAndSetOutcome::SessionEnded;
                StoreResponse::CompareAndSetDone { call, job, record, outcome }
            }
            call => {
                let mut response = call.apply_to(&mut self.store);
                if let StoreResponse::LeasesRead { result: Ok(listing), .. } = &mut response
                    && std::mem::take(&mut self.has_index_decreased)
                {
                    listing.store_index = 1;
                }
                response
            }
        }
    }

    /// Lets a call fail: surely not applied, applied with a lost response, or lost and perhaps applied later.
    fn fail_random_call(&mut self) {
        let Some(call) = self.take_random_call() else { return };
        let mut error = StoreError::OutcomeUnknown(StoreErrorCause::NoResponse);
        match self.rng.random_range(0..3) {
            0 => error = StoreError::NotApplied(StoreErrorCause::QueueFull),
            1 => drop(self.apply(call.clone())),
            _ => self.lost_writes.push(call.clone()),
        }
        self.handle_response(call.fail(error));
    }

    fn apply_lost_write(&mut self) {
        if let Some(call) = self.lost_writes.pop() {
            drop(self.apply(call));
        }
    }

    fn handle_response(&mut self, response: StoreResponse) {
        let mut actions = Vec::new();
        self.scheduler.handle_store_response(self.now, response, &mut actions);
        self.apply_actions(actions);
    }

    /// Lets another instance acquire the current run of a job, unless the stored lease settles it.
    fn acquire_by_other_instance(&mut self) {
        let Some(job) = self.jobs.first() else { return };
        let run = job.run_at(self.now.unix);
        let stored = self.store.read(std::slice::from_ref(&job.name)).leases[0].lease.clone();
        if let Some(stored) = stored.filter(|stored| stored.record.run < run) {
            let record = LeaseRecord { run, holder: "b".into(), lease_id: OTHER_LEASE_ID };
            self.store.compare_and_set(&job.name, record, stored.modify_index);
        }
    }

    /// Returns the run in the stored lease of a job. 0 if there is none.
    fn stored_run(&self, job: &str) -> RunId {
        let listing = self.store.read(&[job.to_owned()]);
        listing.leases[0].lease.as_ref().map_or(RunId::default(), |lease| lease.record.run)
    }

    /// Asserts that each job has an event ahead that continues it.
    fn assert_each_job_continues(&self, last_event: Event) {
        let statuses = self.scheduler.job_statuses();
        assert_eq!(statuses.len(), self.jobs.len());
        for status in statuses {
            let context = format!("seed {}, after {last_event:?}: {status:?}", self.seed);
            match status.next_step {
                NextStep::None => assert_eq!(status.rank, None, "{context}"),
                NextStep::Response(call) => assert!(self.is_in_flight(call, &status.job.name), "{context}"),
                NextStep::Attempt(due) => {
                    assert!(
                        self.scheduler.next_tick().is_some_and(|next_tick| next_tick <= due),
                        "{context}"
                    );
                    assert!(due <= self.latest_attempt(&status), "{context}, now {:?}", self.now);
                }
            }
        }
    }

    fn is_in_flight(&self, id: CallId, job: &str) -> bool {
        self.calls_in_flight.iter().any(|call| match call {
            StoreCall::ReadLeases { call, jobs } => *call == id && jobs.iter().any(|read| read == job),
            StoreCall::CompareAndSet { call, job: written, .. } => *call == id && written == job,
            StoreCall::OpenSession | StoreCall::RenewSession(_) => false,
        })
    }

    /// Returns the latest time at which a job may be attempted next: run ids only increase, so a job whose lease record is ahead
    /// of the clock waits for the run after the recorded one.
    fn latest_attempt(&self, status: &JobStatus) -> UnixTime {
        let last_seen = status.last_run.as_ref().map_or(RunId::default(), |last| last.run);
        let settled = last_seen.max(status.last_started_run).max(self.stored_run(&status.job.name));
        UnixTime::from(settled).max(self.now.unix) + 2 * status.job.period
    }

    /// Ends the faults: all calls are answered, this instance is the only member, and no lease record is ahead of its clock.
    fn recover(&mut self) {
        self.has_index_decreased = false;
        self.respond_to_all_calls();
        let latest = self.jobs.iter().map(|job| UnixTime::from(self.stored_run(&job.name))).max();
        self.now.unix = latest.map_or(self.now.unix, |latest| latest.max(self.now.unix));
        self.scheduler.set_members(self.now, []);
    }

    /// Lets time pass with regular ticks, while each call is answered at once.
    fn run_without_faults(&mut self, duration: Duration) {
        for _ in 0..duration.as_millis() / TICK.as_millis() {
            self.respond_to_all_calls();
            self.advance(TICK);
        }
    }
}

/// Regression: a job whose write and read had failed never ran again if the jobs were set before the next attempt.
#[test]
fn each_job_continues_after_any_sequence_of_events() {
    for seed in 0..SEQUENCE_COUNT {
        let mut sequence = Sequence::new(seed);
        for _ in 0..EVENTS_PER_SEQUENCE {
            let event = sequence.handle_random_event();
            sequence.assert_each_job_continues(event);
        }
        sequence.recover();
        sequence.run_without_faults(2 * MAX_PERIOD);
        let runs_before = sequence.started_runs.clone();
        sequence.run_without_faults(3 * MAX_PERIOD);
        for job in &sequence.jobs {
            let new_runs =
                sequence.started_runs.difference(&runs_before).filter(|(name, _)| *name == job.name);
            assert!(new_runs.count() >= 2, "seed {seed}: {job:?} does not run");
        }
    }
}
