//! The history of a run: typed records of each kind, all timed by one monotonic clock.

use fault_harness::clock::ScheduleClock;
use fault_harness::outcome::Outcome;
use fault_harness::process::ExitRequest;
use fault_harness::stand_ins::{Arrival, AttemptOutcome, ListedState};
use fault_harness::sync::lock;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time since the recorder was created.
pub type Moment = Duration;

/// Number of a gatekeeper, from 0.
pub type GatekeeperIndex = usize;

/// The name of a gatekeeper.
pub(crate) fn gatekeeper_name(gatekeeper: GatekeeperIndex) -> String {
    format!("n{gatekeeper}")
}

/// Number of a backend, from 0.
pub type BackendIndex = usize;

/// A request's number, unique in a run. It includes the gatekeeper that the request was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestNumber(pub u64);

/// Bits of a request's number below those of its gatekeeper.
const SERIAL_BITS: u32 = 32;

impl RequestNumber {
    /// Stands for an id that no client has given.
    pub const UNKNOWN: Self = Self(u64::MAX);

    /// The number of a gatekeeper's request with this serial.
    pub fn new(gatekeeper: GatekeeperIndex, serial: u32) -> Self {
        Self((gatekeeper as u64) << SERIAL_BITS | u64::from(serial))
    }

    /// The gatekeeper that it was sent to.
    pub fn gatekeeper(self) -> GatekeeperIndex {
        (self.0 >> SERIAL_BITS) as usize
    }

    /// The request id on the wire.
    pub fn text(self) -> String {
        format!("{:016x}", self.0)
    }

    /// Parses a request id.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

/// A request that was sent completely.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its number.
    pub number: RequestNumber,
    /// Its class, by index in the settings.
    pub class: usize,
    /// Its tenant, by index in the settings.
    pub tenant: usize,
    /// The units that it takes.
    pub units: f64,
    /// Its deadline, from when it was sent.
    pub time: Duration,
    /// When its last byte was written.
    pub sent: Moment,
    /// When the client closed its connection, if it did so before the answer.
    pub left: Option<Moment>,
    /// When it ended for the client.
    pub ended: Moment,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether it was the first on its connection.
    pub is_first_on_connection: bool,
    /// Whether it was sent again on a new connection because an idle one had been closed.
    pub was_resent: bool,
}

/// The place of an attempt in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptIndex(usize);

/// An attempt that arrived completely at a backend.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Its request.
    pub request: RequestNumber,
    /// The backend.
    pub backend: BackendIndex,
    /// When its first byte was read.
    pub began: Moment,
    /// When its last byte was read.
    pub arrived: Moment,
    /// The time left until the deadline, as stated in the attempt; the longest time if it states none.
    pub time_left: Duration,
    /// When it ended; none while it is in flight.
    pub ended: Option<Moment>,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// What happened to a process of a gatekeeper.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessEvent {
    /// It was started.
    Started {
        /// Offset of its wall clock in microseconds.
        clock_offset_us: i64,
    },
    /// It began to serve.
    Ready,
    /// SIGTERM was sent.
    Terminated,
    /// SIGKILL was sent.
    Killed,
    /// It ended.
    Exited {
        /// Its exit code, or the negative number of the signal that ended it.
        exit_code: i32,
        /// How the harness had asked for it.
        request: ExitRequest,
    },
    /// It was resumed after a suspension.
    Suspended {
        /// When it was suspended.
        from: Moment,
    },
    /// It logged a violation of one of its invariants.
    Violation {
        /// The log line.
        line: String,
    },
    /// It panicked.
    Panicked {
        /// The log line.
        line: String,
    },
}

/// A process event with its time.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// When it happened.
    pub at: Moment,
    /// The gatekeeper.
    pub gatekeeper: GatekeeperIndex,
    /// The number of its process, from 0.
    pub process: usize,
    /// What happened.
    pub event: ProcessEvent,
}

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// When the list changed.
    pub at: Moment,
    /// The backend that changed.
    pub backend: BackendIndex,
    /// Its state from then on.
    pub state: ListedState,
    /// Whether it had just started.
    pub has_started: bool,
}

/// A discovery agent became reachable or unreachable.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryChange {
    /// When it changed.
    pub at: Moment,
    /// The gatekeeper whose agent it is.
    pub gatekeeper: GatekeeperIndex,
    /// Whether it answers from then on.
    pub is_reachable: bool,
}

/// A list update was sent to a gatekeeper.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    /// When it was sent.
    pub at: Moment,
    /// The gatekeeper.
    pub gatekeeper: GatekeeperIndex,
    /// Number of changes of the list so far, all of which it includes.
    pub changes: usize,
}

/// A request that its client never completed.
#[derive(Clone, Copy, Debug)]
pub struct PartialRequest {
    /// The gatekeeper.
    pub gatekeeper: GatekeeperIndex,
    /// When the client stopped sending.
    pub stopped: Moment,
    /// When the client got an error or a close; none if neither came in time.
    pub ended: Option<Moment>,
}

/// The counter became unreachable or reachable for some gatekeepers.
#[derive(Clone, Copy, Debug)]
pub struct CounterChange {
    /// When it changed.
    pub at: Moment,
    /// Number of gatekeepers.
    pub gatekeepers: usize,
}

/// A gatekeeper refused a connection.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// When the client noticed.
    pub at: Moment,
    /// The gatekeeper.
    pub gatekeeper: GatekeeperIndex,
}

/// A thread of the harness ran late.
#[derive(Clone, Copy, Debug)]
pub struct SchedulingDelay {
    /// When it ran.
    pub ended: Moment,
    /// How late that was.
    pub delay: Duration,
}

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// When the schedule began: all processes served by then.
    pub started: Moment,
    /// Requests.
    pub requests: Vec<RequestRecord>,
    /// Attempts.
    pub attempts: Vec<AttemptRecord>,
    /// Processes.
    pub processes: Vec<ProcessRecord>,
    /// The endpoint list.
    pub list_changes: Vec<ListChange>,
    /// Discovery agents.
    pub discovery_changes: Vec<DiscoveryChange>,
    /// Changes of the counter's reachability.
    pub counter_changes: Vec<CounterChange>,
    /// Lists that were written.
    pub notifications: Vec<Notification>,
    /// Requests that were never completed.
    pub partial_requests: Vec<PartialRequest>,
    /// Refused connections to a gatekeeper.
    pub refusals: Vec<Refusal>,
    /// Scheduling delays of the harness itself.
    pub delays: Vec<SchedulingDelay>,
}

/// Collects a history from all threads. Clones share it.
#[derive(Clone, Debug)]
pub struct Recorder {
    clock: ScheduleClock,
    history: Arc<Mutex<History>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self { clock: ScheduleClock::start(), history: Arc::default() }
    }
}

impl Recorder {
    /// The time now.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The clock of all times in the history.
    pub fn clock(&self) -> ScheduleClock {
        self.clock
    }

    /// Adds to the history.
    pub fn record<R>(&self, change: impl FnOnce(&mut History) -> R) -> R {
        change(&mut lock(&self.history))
    }

    /// Records an attempt that has arrived at a backend.
    pub fn begin_attempt(&self, backend: BackendIndex, arrival: Arrival) -> AttemptIndex {
        let attempt = AttemptRecord {
            request: RequestNumber::parse(&arrival.request_id).unwrap_or(RequestNumber::UNKNOWN),
            backend,
            began: arrival.began,
            arrived: arrival.arrived,
            time_left: arrival.time_left.unwrap_or(Duration::MAX),
            ended: None,
            outcome: AttemptOutcome::Open,
        };
        self.record(|history| {
            history.attempts.push(attempt);
            AttemptIndex(history.attempts.len() - 1)
        })
    }

    /// Records the end of an attempt.
    pub fn end_attempt(&self, AttemptIndex(index): AttemptIndex, outcome: AttemptOutcome) {
        let now = self.now();
        self.record(|history| {
            if let Some(attempt) = history.attempts.get_mut(index) {
                attempt.ended = Some(now);
                attempt.outcome = outcome;
            }
        });
    }

    /// A copy of the history so far.
    pub fn snapshot(&self) -> History {
        lock(&self.history).clone()
    }
}
