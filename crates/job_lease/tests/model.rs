//! The claim protocol, checked exhaustively: three instances whose clocks differ, pauses at any point, answers that are
//! lost or come late, claims that are applied late, and a store that comes back empty. The steps are the ones that the
//! program takes (`job_lease::step`); each guard is also taken out once, and the checker must then find a round run twice.

use job_lease::{Found, Held, Record, Step, Want, step};
use stateright::{Checker, Model, Property};

/// Units of time in a round.
const PERIOD: u64 = 2;
/// The most that two clocks differ, in units.
const SKEW: u64 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Claims are written whatever the index is.
    CheckAndSet,
    /// Claims are not bound to a session.
    Session,
    /// An absent key is claimed at once.
    Seed,
    /// A lost answer is taken for a claim that holds.
    Reread,
}

struct Site {
    without: Without,
    /// How far each clock is ahead.
    ahead: [u64; 3],
    end: u64,
    empties: u8,
    losses: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Know(Found),
    /// A claim is on its way to the store, or its answer on its way back.
    Sent {
        index: u64,
        record: Record,
    },
    Answered(bool),
    /// No answer came.
    Doubt,
    /// The clock was looked at and the run is about to begin: a pause may fall in between.
    Begins(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Instance {
    stage: Stage,
    round: u64,
    /// The store's life that its session belongs to.
    session: u8,
    /// The last round that it has started.
    ran: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u64,
    key: Found,
    index: u64,
    life: u8,
    losses: u8,
    /// Claims whose sender has stopped waiting: the store may yet apply them.
    late: Vec<(u8, u64, Record)>,
    instances: Vec<Instance>,
    /// Rounds that were run, sorted.
    ran: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Tick,
    Empty,
    Session(usize),
    Read(usize),
    Send(usize),
    Apply(usize),
    GiveUp(usize),
    ApplyLate(usize),
    Hear(usize),
    Run(usize),
    Drop(usize),
}

impl Site {
    fn clock(&self, state: &State, who: usize) -> u64 {
        state.time + self.ahead[who]
    }

    fn want(&self, state: &State, who: usize, round: u64) -> Want {
        Want { round, id: who as u64 + 1, seed: (self.clock(state, who) + SKEW) / PERIOD }
    }

    fn apply(&self, state: &mut State, session: u8, index: u64, record: &Record) -> bool {
        let there = state.key.as_ref().map_or(0, |k| k.index);
        let fits = there == index || self.without == Without::CheckAndSet;
        let lives = session == state.life || self.without == Without::Session;
        if fits && lives {
            state.index += 1;
            state.key = Some(Held { record: record.clone(), index: state.index });
        }
        fits && lives
    }
}

impl Model for Site {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let instance = Instance { stage: Stage::Idle, round: 0, session: 0, ran: 0 };
        // The key has been there for a while: the round before the first has run.
        let key = Held { record: Record { round: 0, by: "x".into(), id: 9 }, index: 1 };
        let instances = vec![instance; 3];
        let (losses, ran) = (0, Vec::new());
        vec![State { time: PERIOD, key: Some(key), index: 1, life: 0, losses, late: vec![], instances, ran }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.time < self.end {
            actions.push(Action::Tick);
        }
        if state.life < self.empties {
            actions.push(Action::Empty);
        }
        for (i, _) in state.late.iter().enumerate() {
            actions.push(Action::ApplyLate(i));
        }
        for (i, instance) in state.instances.iter().enumerate() {
            match &instance.stage {
                Stage::Idle if instance.session != state.life && self.without != Without::Session => {
                    actions.push(Action::Session(i));
                }
                Stage::Idle | Stage::Doubt => actions.push(Action::Read(i)),
                Stage::Know(_) => actions.push(Action::Send(i)),
                Stage::Sent { .. } => {
                    actions.push(Action::Apply(i));
                    if state.losses < self.losses {
                        actions.push(Action::GiveUp(i));
                    }
                }
                Stage::Answered(_) => {
                    actions.push(Action::Hear(i));
                    if state.losses < self.losses {
                        actions.push(Action::Drop(i));
                    }
                }
                Stage::Begins(_) => actions.push(Action::Run(i)),
            }
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Tick => state.time += 1,
            Action::Empty => {
                state.life += 1;
                state.key = None;
                // Indexes begin anew, so an old one may come to fit again.
                state.index = 0;
            }
            Action::ApplyLate(i) => {
                let (session, index, record) = state.late.remove(i);
                self.apply(&mut state, session, index, &record);
            }
            Action::Session(i) => state.instances[i].session = state.life,
            Action::Read(i) => {
                let round = self.clock(&state, i) / PERIOD;
                let key = state.key.clone();
                let instance = &mut state.instances[i];
                if instance.stage == Stage::Idle {
                    // One round at a time, and never one that it has started.
                    if round <= instance.ran {
                        return None;
                    }
                    instance.round = round;
                }
                instance.stage = Stage::Know(key);
            }
            Action::Send(i) => {
                let Stage::Know(found) = state.instances[i].stage.clone() else { return None };
                let round = state.instances[i].round;
                let now = self.clock(&state, i) / PERIOD;
                let want = self.want(&state, i, round);
                let stage = match step(&found, &want) {
                    // Its own clock says that the round is over.
                    _ if now != round => Stage::Idle,
                    Step::Taken => Stage::Idle,
                    Step::Mine => Stage::Begins(round),
                    Step::Seed if self.without == Without::Seed => {
                        Stage::Sent { index: 0, record: want.claim("x") }
                    }
                    Step::Seed => Stage::Sent { index: 0, record: want.seed() },
                    Step::Put { index } => Stage::Sent { index, record: want.claim("x") },
                };
                state.instances[i].stage = stage;
            }
            Action::Apply(i) => {
                let Stage::Sent { index, record } = state.instances[i].stage.clone() else { return None };
                let session = state.instances[i].session;
                let won = self.apply(&mut state, session, index, &record) && record.id != 0;
                state.instances[i].stage = Stage::Answered(won);
            }
            Action::GiveUp(i) => {
                let Stage::Sent { index, record } = state.instances[i].stage.clone() else { return None };
                state.late.push((state.instances[i].session, index, record.clone()));
                state.losses += 1;
                let now = self.clock(&state, i) / PERIOD;
                let fits = now == state.instances[i].round && record.id != 0;
                state.instances[i].stage = match self.without {
                    Without::Reread if fits => Stage::Begins(record.round),
                    _ => Stage::Doubt,
                };
            }
            Action::Drop(i) => {
                state.losses += 1;
                state.instances[i].stage = Stage::Doubt;
            }
            Action::Hear(i) => {
                let Stage::Answered(won) = state.instances[i].stage else { return None };
                let now = self.clock(&state, i) / PERIOD;
                let round = state.instances[i].round;
                state.instances[i].stage =
                    if won && now == round { Stage::Begins(round) } else { Stage::Idle };
            }
            Action::Run(i) => {
                let Stage::Begins(round) = state.instances[i].stage else { return None };
                state.instances[i].ran = round;
                state.instances[i].stage = Stage::Idle;
                state.ran.push(round);
                state.ran.sort_unstable();
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no round runs twice", |_, s: &State| s.ran.windows(2).all(|w| w[0] != w[1])),
            Property::sometimes("a round runs", |_, s: &State| !s.ran.is_empty()),
            Property::sometimes("a round runs after the store came back empty", |site: &Site, s: &State| {
                site.empties == 0 || (s.life > 0 && s.ran.len() > 1)
            }),
        ]
    }
}

fn check(without: Without, ahead: [u64; 3], empties: u8, losses: u8, end: u64) -> (bool, usize) {
    let site = Site { without, ahead, end, empties, losses };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = site.checker().threads(threads).spawn_bfs().join();
    let doubled = checker.discovery("no round runs twice").is_some();
    if without == Without::Nothing {
        for name in ["a round runs", "a round runs after the store came back empty"] {
            assert!(checker.discovery(name).is_some(), "{name}: the model shows too little");
        }
    }
    (doubled, checker.unique_state_count())
}

#[test]
fn no_round_runs_twice_whatever_is_lost_late_or_emptied() {
    // Short enough for every run of the tests; `all_sizes` goes further.
    sizes(&[[0, 0, 0], [1, 0, 0]], &[(0, 1, 4), (1, 1, 4)]);
}

#[test]
#[ignore = "takes minutes: part of `make proof-duties`"]
fn all_sizes() {
    sizes(&[[0, 0, 0], [1, 0, 0], [1, 1, 0]], &[(0, 2, 5), (1, 1, 5)]);
}

/// Checks all of these clocks with all of these numbers of restarts, lost answers and units of time.
fn sizes(clocks: &[[u64; 3]], sizes: &[(u8, u8, u64)]) {
    let mut states = 0;
    for ahead in clocks {
        for &(empties, losses, end) in sizes {
            let (doubled, seen) = check(Without::Nothing, *ahead, empties, losses, end);
            assert!(!doubled, "clocks {ahead:?}, {empties} restarts empty, {losses} answers lost");
            states += seen;
        }
    }
    println!("claims: {states} states checked, three instances");
    assert!(states > 10_000, "only {states} states");
}

#[test]
fn each_guard_is_needed() {
    for (without, empties, losses) in [
        (Without::CheckAndSet, 0, 0),
        (Without::Session, 1, 1),
        (Without::Seed, 1, 0),
        (Without::Reread, 0, 1),
    ] {
        assert!(
            check(without, [1, 0, 0], empties, losses, 5).0,
            "the checker finds nothing without {without:?}"
        );
    }
}
