//! The lease protocol, checked exhaustively: three instances whose clocks differ, pauses at any point, responses that are
//! lost or late, writes that are applied late, and a store that comes back empty. The decisions are those of the program
//! (`job_lease::decide`); each guard is also taken out once, and the checker must then find a run that starts twice.

#![allow(clippy::too_many_lines)]

use job_lease::{AcquireRequest, Decision, LeaseRecord, RunId, StoredLease, decide};
use stateright::{Checker, Model, Property};

/// Units of time in a period.
const PERIOD: u64 = 2;
/// The largest difference between two clocks, in units of time.
const SKEW: u64 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RemovedGuard {
    None,
    /// Records are written whatever the index is.
    CompareAndSet,
    /// Writes are not bound to a session.
    Session,
    /// An absent key is acquired at once.
    Seed,
    /// A lost response is taken for a lease that holds.
    Reread,
}

struct LeaseModel {
    removed_guard: RemovedGuard,
    /// How far each clock is ahead.
    clock_offsets: [u64; 3],
    end: u64,
    /// How often the store comes back empty.
    max_store_losses: u8,
    /// How many responses are lost.
    max_response_losses: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    /// The lease was read; `None` where there is no key.
    Read(Option<StoredLease>),
    /// A write is on its way to the store.
    Sent {
        expected_index: u64,
        record: LeaseRecord,
    },
    /// The response is on its way back: whether the run was acquired.
    Responded(bool),
    /// No response came.
    Uncertain,
    /// The clock was checked and the run is about to start: a pause may fall in between.
    Starting(RunId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Instance {
    phase: Phase,
    run: RunId,
    /// The incarnation of the store that its session belongs to.
    session: u8,
    /// The last run that it has started.
    last_started: RunId,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u64,
    stored: Option<StoredLease>,
    store_index: u64,
    store_incarnation: u8,
    lost_responses: u8,
    /// Writes whose sender has stopped waiting: the store may yet apply them.
    late_writes: Vec<LateWrite>,
    instances: Vec<Instance>,
    /// The runs that were started, sorted.
    started: Vec<RunId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LateWrite {
    session: u8,
    expected_index: u64,
    record: LeaseRecord,
}

/// What may happen next. The numbers are those of instances, and of late writes.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Tick,
    EmptyStore,
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
    fn clock(&self, state: &State, instance: usize) -> u64 {
        state.time + self.clock_offsets[instance]
    }

    /// The run at the present time by an instance's clock.
    fn present_run(&self, state: &State, instance: usize) -> RunId {
        RunId(self.clock(state, instance) / PERIOD)
    }

    fn request(&self, state: &State, instance: usize, run: RunId) -> AcquireRequest {
        let seed_run = RunId((self.clock(state, instance) + SKEW) / PERIOD);
        AcquireRequest { run, lease_id: instance as u64 + 1, seed_run }
    }

    fn apply(&self, state: &mut State, session: u8, expected_index: u64, record: &LeaseRecord) -> bool {
        let index = state.stored.as_ref().map_or(0, |stored| stored.modify_index);
        let index_matches = index == expected_index || self.removed_guard == RemovedGuard::CompareAndSet;
        let session_exists =
            session == state.store_incarnation || self.removed_guard == RemovedGuard::Session;
        if index_matches && session_exists {
            state.store_index += 1;
            state.stored = Some(StoredLease { record: record.clone(), modify_index: state.store_index });
        }
        index_matches && session_exists
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let instance = Instance { phase: Phase::Idle, run: RunId(0), session: 0, last_started: RunId(0) };
        // The key has existed for a while: the run before the first has started.
        let record = LeaseRecord { run: RunId(0), holder: "x".into(), lease_id: 9 };
        vec![State {
            time: PERIOD,
            stored: Some(StoredLease { record, modify_index: 1 }),
            store_index: 1,
            store_incarnation: 0,
            lost_responses: 0,
            late_writes: Vec::new(),
            instances: vec![instance; 3],
            started: Vec::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.time < self.end {
            actions.push(Action::Tick);
        }
        if state.store_incarnation < self.max_store_losses {
            actions.push(Action::EmptyStore);
        }
        for (i, _) in state.late_writes.iter().enumerate() {
            actions.push(Action::ApplyLate(i));
        }
        let may_lose = state.lost_responses < self.max_response_losses;
        for (i, instance) in state.instances.iter().enumerate() {
            let session_ended = instance.session != state.store_incarnation;
            match &instance.phase {
                Phase::Idle if session_ended && self.removed_guard != RemovedGuard::Session => {
                    actions.push(Action::OpenSession(i));
                }
                Phase::Idle | Phase::Uncertain => actions.push(Action::Read(i)),
                Phase::Read(_) => actions.push(Action::Send(i)),
                Phase::Sent { .. } => {
                    actions.push(Action::Apply(i));
                    if may_lose {
                        actions.push(Action::TimeOut(i));
                    }
                }
                Phase::Responded(_) => {
                    actions.push(Action::Receive(i));
                    if may_lose {
                        actions.push(Action::LoseResponse(i));
                    }
                }
                Phase::Starting(_) => actions.push(Action::Start(i)),
            }
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Tick => state.time += 1,
            Action::EmptyStore => {
                state.store_incarnation += 1;
                state.stored = None;
                // Indexes begin anew, so an old one may come to match again.
                state.store_index = 0;
            }
            Action::ApplyLate(i) => {
                let LateWrite { session, expected_index, record } = state.late_writes.remove(i);
                self.apply(&mut state, session, expected_index, &record);
            }
            Action::OpenSession(i) => state.instances[i].session = state.store_incarnation,
            Action::Read(i) => {
                let run = self.present_run(&state, i);
                let stored = state.stored.clone();
                let instance = &mut state.instances[i];
                if instance.phase == Phase::Idle {
                    // One run at a time, and never one that it has started.
                    if run <= instance.last_started {
                        return None;
                    }
                    instance.run = run;
                }
                instance.phase = Phase::Read(stored);
            }
            Action::Send(i) => {
                let Phase::Read(stored) = state.instances[i].phase.clone() else { return None };
                let run = state.instances[i].run;
                let present_run = self.present_run(&state, i);
                let request = self.request(&state, i, run);
                let phase = match decide(stored.as_ref(), &request) {
                    // Its own clock says that the run's period is over.
                    _ if present_run != run => Phase::Idle,
                    Decision::Settled => Phase::Idle,
                    Decision::AlreadyHeld => Phase::Starting(run),
                    Decision::Seed if self.removed_guard == RemovedGuard::Seed => {
                        Phase::Sent { expected_index: 0, record: request.lease_record("x") }
                    }
                    Decision::Seed => Phase::Sent { expected_index: 0, record: request.seed_record() },
                    Decision::CompareAndSet { expected_index } => {
                        Phase::Sent { expected_index, record: request.lease_record("x") }
                    }
                };
                state.instances[i].phase = phase;
            }
            Action::Apply(i) => {
                let Phase::Sent { expected_index, record } = state.instances[i].phase.clone() else {
                    return None;
                };
                let session = state.instances[i].session;
                let acquired = self.apply(&mut state, session, expected_index, &record) && !record.is_seed();
                state.instances[i].phase = Phase::Responded(acquired);
            }
            Action::TimeOut(i) => {
                let Phase::Sent { expected_index, record } = state.instances[i].phase.clone() else {
                    return None;
                };
                let session = state.instances[i].session;
                state.late_writes.push(LateWrite { session, expected_index, record: record.clone() });
                state.lost_responses += 1;
                let in_time = self.present_run(&state, i) == state.instances[i].run && !record.is_seed();
                state.instances[i].phase = match self.removed_guard {
                    RemovedGuard::Reread if in_time => Phase::Starting(record.run),
                    _ => Phase::Uncertain,
                };
            }
            Action::LoseResponse(i) => {
                state.lost_responses += 1;
                state.instances[i].phase = Phase::Uncertain;
            }
            Action::Receive(i) => {
                let Phase::Responded(acquired) = state.instances[i].phase else { return None };
                let run = state.instances[i].run;
                let in_time = self.present_run(&state, i) == run;
                state.instances[i].phase =
                    if acquired && in_time { Phase::Starting(run) } else { Phase::Idle };
            }
            Action::Start(i) => {
                let Phase::Starting(run) = state.instances[i].phase else { return None };
                state.instances[i].last_started = run;
                state.instances[i].phase = Phase::Idle;
                state.started.push(run);
                state.started.sort_unstable();
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_RUN_TWICE, |_, state: &State| {
                state.started.windows(2).all(|pair| pair[0] != pair[1])
            }),
            Property::sometimes(A_RUN_STARTS, |_, state: &State| !state.started.is_empty()),
            Property::sometimes(A_RUN_STARTS_AFTER_A_LOSS, |model: &LeaseModel, state: &State| {
                let store_lost = state.store_incarnation > 0 && state.started.len() > 1;
                model.max_store_losses == 0 || store_lost
            }),
        ]
    }
}

const NO_RUN_TWICE: &str = "no run starts twice";
const A_RUN_STARTS: &str = "a run starts";
const A_RUN_STARTS_AFTER_A_LOSS: &str = "a run starts after the store came back empty";

/// The size of a check.
#[derive(Clone, Copy)]
struct Size {
    store_losses: u8,
    response_losses: u8,
    end: u64,
}

const fn size(store_losses: u8, response_losses: u8, end: u64) -> Size {
    Size { store_losses, response_losses, end }
}

struct Checked {
    /// Whether some run starts twice.
    run_twice: bool,
    states: usize,
}

fn check(removed_guard: RemovedGuard, clock_offsets: [u64; 3], size: Size) -> Checked {
    let model = LeaseModel {
        removed_guard,
        clock_offsets,
        end: size.end,
        max_store_losses: size.store_losses,
        max_response_losses: size.response_losses,
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = model.checker().threads(threads).spawn_bfs().join();
    let run_twice = checker.discovery(NO_RUN_TWICE).is_some();
    if removed_guard == RemovedGuard::None {
        for name in [A_RUN_STARTS, A_RUN_STARTS_AFTER_A_LOSS] {
            assert!(checker.discovery(name).is_some(), "{name}: the model shows too little");
        }
    }
    Checked { run_twice, states: checker.unique_state_count() }
}

#[test]
fn no_run_starts_twice_whatever_is_lost_late_or_emptied() {
    // Short enough for every run of the tests; `all_sizes` goes further.
    check_sizes(&[[0, 0, 0], [1, 0, 0]], &[size(0, 1, 4), size(1, 1, 4)]);
}

#[test]
#[ignore = "takes minutes: part of `make proof-periodic-jobs`"]
fn all_sizes() {
    check_sizes(&[[0, 0, 0], [1, 0, 0], [1, 1, 0]], &[size(0, 2, 5), size(1, 1, 5)]);
}

/// Checks all of these clock offsets with all of these sizes.
fn check_sizes(clock_offsets: &[[u64; 3]], sizes: &[Size]) {
    let mut states = 0;
    for offsets in clock_offsets {
        for &size in sizes {
            let checked = check(RemovedGuard::None, *offsets, size);
            let Size { store_losses, response_losses, .. } = size;
            assert!(
                !checked.run_twice,
                "clocks {offsets:?}, {store_losses} restarts empty, {response_losses} responses lost"
            );
            states += checked.states;
        }
    }
    println!("job leases: {states} states checked, three instances");
    assert!(states > 10_000, "only {states} states");
}

#[test]
fn each_guard_is_needed() {
    for (removed_guard, size) in [
        (RemovedGuard::CompareAndSet, size(0, 0, 5)),
        (RemovedGuard::Session, size(1, 1, 5)),
        (RemovedGuard::Seed, size(1, 0, 5)),
        (RemovedGuard::Reread, size(0, 1, 5)),
    ] {
        assert!(
            check(removed_guard, [1, 0, 0], size).run_twice,
            "the checker finds nothing without {removed_guard:?}"
        );
    }
}
