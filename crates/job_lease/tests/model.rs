//! Exhaustive model checking of the lease protocol with three instances. The model covers clock skew, instances that pause
//! at any point, lost and late responses, writes that are applied after their timeout, and a store that loses its data. It
//! calls the program's own `job_lease::decide`. A further test removes one guard of the protocol at a time, and the checker
//! must then find a run that starts twice.

use job_lease::{AcquireRequest, Decision, LeaseRecord, RunId, StoredLease, decide};
use stateright::{Checker, Model, Property};

/// The period of the job, in the model's units of time.
const PERIOD: u64 = 2;
/// The maximum clock skew between two instances, in the model's units of time.
const MAX_CLOCK_SKEW: u64 = 1;

/// The guard of the protocol that a model leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RemovedGuard {
    None,
    /// Writes ignore the expected index.
    CompareAndSet,
    /// Writes are not bound to a session.
    Session,
    /// An absent key is acquired at once, without a seed record that settles the runs of an earlier store first.
    Seed,
    /// After a lost response, an instance starts the run without reading the lease again.
    Reread,
}

/// Three instances that attempt the runs of one job, and the lease store.
struct LeaseModel {
    removed_guard: RemovedGuard,
    /// The offset of each instance's clock from `State::time`.
    clock_offsets: [u64; 3],
    /// The value of `State::time` after which the clocks no longer advance.
    end_time: u64,
    /// The maximum number of times the store loses its data.
    max_store_losses: u8,
    /// The maximum number of lost responses.
    max_response_losses: u8,
}

/// The progress of an instance's attempt at a run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    /// The lease was read. `None` if the key does not exist.
    Read(Option<StoredLease>),
    /// A write was sent to the store.
    Sent(Write),
    /// The store has responded.
    Responded {
        acquired: bool,
    },
    /// The response was lost or timed out, so the outcome of the write is unknown.
    Uncertain,
    /// The instance has checked the clock and will start the run. The instance may pause before the start.
    Starting(RunId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Instance {
    phase: Phase,
    /// The run of the current or last attempt.
    run: RunId,
    /// The incarnation of the store in which the instance opened its session.
    session: u8,
    /// The last run that this instance has started.
    last_started_run: RunId,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The time on a clock without offset.
    time: u64,
    /// The stored lease. `None` if the key does not exist.
    stored: Option<StoredLease>,
    store_index: u64,
    /// The number of times that the store has lost its data.
    store_incarnation: u8,
    lost_responses: u8,
    /// Timed-out writes that the store may still apply.
    late_writes: Vec<Write>,
    instances: Vec<Instance>,
    /// The started runs, sorted.
    started_runs: Vec<RunId>,
}

/// A compare-and-set that is bound to a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    /// The incarnation of the store in which the session was opened.
    session: u8,
    expected_index: u64,
    record: LeaseRecord,
}

/// A step of the model. The number is the index of an instance, or that of a late write for `ApplyLate`.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Tick,
    LoseStoreData,
    OpenSession(usize),
    Read(usize),
    Send(usize),
    Apply(usize),
    TimeOut(usize),
    ApplyLate(usize),
    Receive(usize),
    Start(usize),
    LoseResponse(usize),
}

impl LeaseModel {
    fn clock_time(&self, state: &State, instance_index: usize) -> u64 {
        state.time + self.clock_offsets[instance_index]
    }

    /// Returns the run whose period contains the current time of an instance's clock.
    fn current_run(&self, state: &State, instance_index: usize) -> RunId {
        RunId(self.clock_time(state, instance_index) / PERIOD)
    }

    fn acquire_request(&self, state: &State, instance_index: usize, run: RunId) -> AcquireRequest {
        let run_if_key_absent = RunId((self.clock_time(state, instance_index) + MAX_CLOCK_SKEW) / PERIOD);
        AcquireRequest { run, lease_id: instance_index as u64 + 1, run_if_key_absent }
    }

    /// Applies a compare-and-set in the store. Returns whether the record was written.
    fn apply(&self, state: &mut State, write: &Write) -> bool {
        let current_index = state.stored.as_ref().map_or(0, |stored| stored.modify_index);
        let index_matches =
            current_index == write.expected_index || self.removed_guard == RemovedGuard::CompareAndSet;
        let session_exists =
            write.session == state.store_incarnation || self.removed_guard == RemovedGuard::Session;
        let applied = index_matches && session_exists;
        if applied {
            state.store_index += 1;
            let record = write.record.clone();
            state.stored = Some(StoredLease { record, modify_index: state.store_index });
        }
        applied
    }

    /// Lets an instance read the lease. Returns `None` if it has no run to attempt.
    fn read(&self, state: &mut State, instance_index: usize) -> Option<()> {
        let run = self.current_run(state, instance_index);
        let stored = state.stored.clone();
        let instance = &mut state.instances[instance_index];
        if instance.phase == Phase::Idle {
            // An instance attempts one run at a time, and none that it has already started.
            if run <= instance.last_started_run {
                return None;
            }
            instance.run = run;
        }
        instance.phase = Phase::Read(stored);
        Some(())
    }

    /// Lets an instance act on the lease that it has read: it sends a write, starts the run or gives it up.
    fn send(&self, state: &mut State, instance_index: usize) -> Option<()> {
        let Phase::Read(stored) = state.instances[instance_index].phase.clone() else { return None };
        let Instance { run, session, .. } = state.instances[instance_index];
        let current_run = self.current_run(state, instance_index);
        let request = self.acquire_request(state, instance_index, run);
        let acquire = |expected_index| {
            Phase::Sent(Write { session, expected_index, record: request.lease_record("x") })
        };
        state.instances[instance_index].phase = match decide(stored.as_ref(), &request) {
            // The run's period is over by the instance's clock.
            _ if current_run != run => Phase::Idle,
            Decision::Settled => Phase::Idle,
            Decision::AlreadyHeld => Phase::Starting(run),
            Decision::Seed if self.removed_guard == RemovedGuard::Seed => acquire(0),
            Decision::Seed => {
                Phase::Sent(Write { session, expected_index: 0, record: request.seed_record() })
            }
            Decision::CompareAndSet { expected_index } => acquire(expected_index),
        };
        Some(())
    }

    /// Lets the store apply the write of an instance and respond.
    fn apply_sent(&self, state: &mut State, instance_index: usize) -> Option<()> {
        let Phase::Sent(write) = state.instances[instance_index].phase.clone() else { return None };
        let acquired = self.apply(state, &write) && !write.record.is_seed();
        state.instances[instance_index].phase = Phase::Responded { acquired };
        Some(())
    }

    /// Lets an instance stop waiting for the response to its write. The store may still apply the write later.
    fn time_out(&self, state: &mut State, instance_index: usize) -> Option<()> {
        let Phase::Sent(write) = state.instances[instance_index].phase.clone() else { return None };
        let run = write.record.run;
        let in_time = self.current_run(state, instance_index) == state.instances[instance_index].run
            && !write.record.is_seed();
        state.late_writes.push(write);
        state.lost_responses += 1;
        state.instances[instance_index].phase = match self.removed_guard {
            RemovedGuard::Reread if in_time => Phase::Starting(run),
            _ => Phase::Uncertain,
        };
        Some(())
    }

    /// Lets an instance receive the response to its write. The run starts only if its period is not over.
    fn receive(&self, state: &mut State, instance_index: usize) -> Option<()> {
        let Phase::Responded { acquired } = state.instances[instance_index].phase else { return None };
        let run = state.instances[instance_index].run;
        let in_time = self.current_run(state, instance_index) == run;
        state.instances[instance_index].phase =
            if acquired && in_time { Phase::Starting(run) } else { Phase::Idle };
        Some(())
    }
}

impl State {
    /// Restarts the store without data.
    fn lose_store_data(&mut self) {
        self.store_incarnation += 1;
        self.stored = None;
        // The indexes start again at 0, so an index from before the loss may match again.
        self.store_index = 0;
    }

    /// Loses the response to the write of an instance.
    fn lose_response(&mut self, instance_index: usize) {
        self.lost_responses += 1;
        self.instances[instance_index].phase = Phase::Uncertain;
    }

    /// Lets an instance start the run that it has acquired.
    fn start(&mut self, instance_index: usize) -> Option<()> {
        let Phase::Starting(run) = self.instances[instance_index].phase else { return None };
        self.instances[instance_index].last_started_run = run;
        self.instances[instance_index].phase = Phase::Idle;
        self.started_runs.push(run);
        self.started_runs.sort_unstable();
        Some(())
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let instance = Instance { phase: Phase::Idle, run: RunId(0), session: 0, last_started_run: RunId(0) };
        // The key exists, and another holder has acquired the run before the first one of the model.
        let record = LeaseRecord { run: RunId(0), holder: "x".into(), lease_id: 9 };
        vec![State {
            time: PERIOD,
            stored: Some(StoredLease { record, modify_index: 1 }),
            store_index: 1,
            store_incarnation: 0,
            lost_responses: 0,
            late_writes: Vec::new(),
            instances: vec![instance; 3],
            started_runs: Vec::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.time < self.end_time {
            actions.push(Action::Tick);
        }
        if state.store_incarnation < self.max_store_losses {
            actions.push(Action::LoseStoreData);
        }
        for (i, _) in state.late_writes.iter().enumerate() {
            actions.push(Action::ApplyLate(i));
        }
        let may_lose_response = state.lost_responses < self.max_response_losses;
        for (i, instance) in state.instances.iter().enumerate() {
            let session_ended = instance.session != state.store_incarnation;
            match &instance.phase {
                Phase::Idle if session_ended && self.removed_guard != RemovedGuard::Session => {
                    actions.push(Action::OpenSession(i));
                }
                Phase::Idle | Phase::Uncertain => actions.push(Action::Read(i)),
                Phase::Read(_) => actions.push(Action::Send(i)),
                Phase::Sent(_) => {
                    actions.push(Action::Apply(i));
                    if may_lose_response {
                        actions.push(Action::TimeOut(i));
                    }
                }
                Phase::Responded { .. } => {
                    actions.push(Action::Receive(i));
                    if may_lose_response {
                        actions.push(Action::LoseResponse(i));
                    }
                }
                Phase::Starting(_) => actions.push(Action::Start(i)),
            }
        }
    }

    fn next_state(&self, current: &State, action: Action) -> Option<State> {
        let mut state = current.clone();
        match action {
            Action::Tick => state.time += 1,
            Action::LoseStoreData => state.lose_store_data(),
            Action::ApplyLate(i) => {
                let write = state.late_writes.remove(i);
                self.apply(&mut state, &write);
            }
            Action::OpenSession(i) => state.instances[i].session = state.store_incarnation,
            Action::Read(i) => self.read(&mut state, i)?,
            Action::Send(i) => self.send(&mut state, i)?,
            Action::Apply(i) => self.apply_sent(&mut state, i)?,
            Action::TimeOut(i) => self.time_out(&mut state, i)?,
            Action::LoseResponse(i) => state.lose_response(i),
            Action::Receive(i) => self.receive(&mut state, i)?,
            Action::Start(i) => state.start(i)?,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_RUN_TWICE, |_, state: &State| {
                state.started_runs.windows(2).all(|pair| pair[0] != pair[1])
            }),
            Property::sometimes(A_RUN_STARTS, |_, state: &State| !state.started_runs.is_empty()),
            Property::sometimes(A_RUN_STARTS_AFTER_DATA_LOSS, |model: &LeaseModel, state: &State| {
                let started_after_loss = state.store_incarnation > 0 && state.started_runs.len() > 1;
                model.max_store_losses == 0 || started_after_loss
            }),
        ]
    }
}

const NO_RUN_TWICE: &str = "no run starts twice";
const A_RUN_STARTS: &str = "a run starts";
const A_RUN_STARTS_AFTER_DATA_LOSS: &str = "a run starts after the store has lost its data";

/// The bounds of the state space that one check explores.
#[derive(Clone, Copy)]
struct Bounds {
    store_losses: u8,
    response_losses: u8,
    end_time: u64,
}

const fn bounds(store_losses: u8, response_losses: u8, end_time: u64) -> Bounds {
    Bounds { store_losses, response_losses, end_time }
}

struct CheckResult {
    /// Whether the checker found a run that starts twice.
    run_starts_twice: bool,
    /// The number of unique states explored.
    states: usize,
}

fn check(removed_guard: RemovedGuard, clock_offsets: [u64; 3], bounds: Bounds) -> CheckResult {
    let model = LeaseModel {
        removed_guard,
        clock_offsets,
        end_time: bounds.end_time,
        max_store_losses: bounds.store_losses,
        max_response_losses: bounds.response_losses,
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = model.checker().threads(threads).spawn_bfs().join();
    let run_starts_twice = checker.discovery(NO_RUN_TWICE).is_some();
    if removed_guard == RemovedGuard::None {
        for name in [A_RUN_STARTS, A_RUN_STARTS_AFTER_DATA_LOSS] {
            assert!(checker.discovery(name).is_some(), "{name}: not reached by the model");
        }
    }
    CheckResult { run_starts_twice, states: checker.unique_state_count() }
}

#[test]
fn no_run_starts_twice_despite_lost_responses_late_writes_and_data_loss() {
    // These bounds are small enough for every run of the tests. The ignored test below checks larger ones.
    check_all(&[[0, 0, 0], [1, 0, 0]], &[bounds(0, 1, 4), bounds(1, 1, 4)]);
}

#[test]
#[ignore = "takes minutes: part of `make proof-periodic-jobs`"]
fn no_run_starts_twice_within_larger_bounds() {
    check_all(&[[0, 0, 0], [1, 0, 0], [1, 1, 0]], &[bounds(0, 2, 5), bounds(1, 1, 5)]);
}

/// Checks all combinations of these clock offsets and bounds.
fn check_all(clock_offsets: &[[u64; 3]], all_bounds: &[Bounds]) {
    let mut states = 0;
    for offsets in clock_offsets {
        for &bounds in all_bounds {
            let result = check(RemovedGuard::None, *offsets, bounds);
            let Bounds { store_losses, response_losses, .. } = bounds;
            assert!(
                !result.run_starts_twice,
                "a run starts twice with the clock offsets {offsets:?}, up to {store_losses} data losses and up to \
                 {response_losses} lost responses"
            );
            states += result.states;
        }
    }
    println!("job leases: {states} states checked, three instances");
    assert!(states > 10_000, "only {states} states checked");
}

#[test]
fn a_run_starts_twice_if_any_single_guard_is_missing() {
    for (removed_guard, bounds) in [
        (RemovedGuard::CompareAndSet, bounds(0, 0, 5)),
        (RemovedGuard::Session, bounds(1, 1, 5)),
        (RemovedGuard::Seed, bounds(1, 0, 5)),
        (RemovedGuard::Reread, bounds(0, 1, 5)),
    ] {
        assert!(
            check(removed_guard, [1, 0, 0], bounds).run_starts_twice,
            "no run starts twice without the guard {removed_guard:?}"
        );
    }
}
