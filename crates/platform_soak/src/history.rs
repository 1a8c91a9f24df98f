//! What happened in a schedule, on one monotonic clock.

use fault_injection::clock::ScheduleClock;
use fault_injection::process::ExitRequest;
use fault_injection::stand_ins::ListedState;
use fault_injection::sync::lock;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time since the schedule began.
pub type Moment = Duration;

/// Number of a gatekeeper, from 0.
pub type GatekeeperIndex = usize;

/// The name of a gatekeeper.
pub(crate) fn gatekeeper_name(gatekeeper: GatekeeperIndex) -> String {
    format!("n{gatekeeper}")
}

/// Number of a backend, from 0.
pub type BackendIndex = usize;

/// A request's number, unique in a schedule. It tells the gatekeeper that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestNumber(pub u64);

/// Bits of a request's number below those that tell its gatekeeper.
const SERIAL_BITS: u32 = 32;

impl RequestNumber {
    /// The number of a gatekeeper's request with this serial.
    pub fn new(gatekeeper: GatekeeperIndex, serial: u32) -> Self {
        Self((gatekeeper as u64) << SERIAL_BITS | u64::from(serial))
    }

    /// The gatekeeper that it was sent to.
    pub fn gatekeeper(self) -> GatekeeperIndex {
        (self.0 >> SERIAL_BITS) as usize
    }

    /// As it stands on the wire.
    pub fn text(self) -> String {
        format!("{:016x}", self.0)
    }

    /// From the wire.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The value of a backend, for this request.
    Served,
    /// A value that no backend gave for it.
    WrongValue,
    /// `-BUSY`.
    Rejected,
    /// Any other error.
    Failed,
    /// The gatekeeper ended the connection without an answer.
    Closed,
    /// No answer by half a second after its time.
    Unanswered,
    /// The client closed the connection before its answer.
    Left,
}

/// A request that was sent whole.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its number.
    pub number: RequestNumber,
    /// Its class and tenant, by number in the settings.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Its cost.
    pub units: f64,
    /// For how long its client waits.
    pub time: Duration,
    /// When its last byte was written.
    pub sent: Moment,
    /// When the client had closed its connection, if it left.
    pub left: Option<Moment>,
    /// When it ended for the client.
    pub ended: Moment,
    /// How.
    pub outcome: RequestOutcome,
    /// It was the first on its connection.
    pub is_first_on_connection: bool,
    /// It was sent once more on a new connection, as a resting one had ended.
    pub was_resent: bool,
}

/// How an attempt ended at its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Not yet.
    Open,
    /// Its value was written.
    Served,
    /// An error was written: it may have run.
    Failed,
    /// Rejected: it never ran.
    Rejected,
    /// The connection ended first.
    Closed,
}

/// An attempt that came whole to a backend.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Its request.
    pub request: RequestNumber,
    /// Its backend, and how often that had started.
    pub backend: BackendIndex,
    /// When its first byte was read.
    pub began: Moment,
    /// When its last byte was read.
    pub arrived: Moment,
    /// The time that it said its client has left.
    pub time_left: Duration,
    /// When it ended; none while it is out.
    pub ended: Option<Moment>,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// What happened to a gatekeeper.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessEvent {
    /// A process was started, with the wall clock so many microseconds ahead.
    Started {
        /// The offset.
        clock_offset_us: i64,
    },
    /// It serves.
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
    /// It was suspended, and continued at this moment.
    Suspended {
        /// Since when.
        from: Moment,
    },
    /// It reported a broken invariant.
    Violation {
        /// The log line.
        line: String,
    },
    /// It wrote of a panic.
    Panicked {
        /// The log line.
        line: String,
    },
}

/// A process event with its time.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// When.
    pub at: Moment,
    /// Of which gatekeeper.
    pub gatekeeper: GatekeeperIndex,
    /// Which of its processes, from 0.
    pub process: usize,
    /// What.
    pub event: ProcessEvent,
}

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// When discovery had it.
    pub at: Moment,
    /// Of which backend.
    pub backend: BackendIndex,
    /// Its state from then on.
    pub state: ListedState,
    /// It had started just before.
    pub has_started: bool,
}

/// A discovery agent became reachable, or not.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryChange {
    /// When.
    pub at: Moment,
    /// Whose agent.
    pub gatekeeper: GatekeeperIndex,
    /// Whether it answers from then on.
    pub is_reachable: bool,
}

/// A list was written to a gatekeeper.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    /// When.
    pub at: Moment,
    /// To which gatekeeper.
    pub gatekeeper: GatekeeperIndex,
    /// How many changes of the list it included.
    pub changes: usize,
}

/// A client that did not complete its request, and when its connection ended.
#[derive(Clone, Copy, Debug)]
pub struct PartialRequest {
    /// To which gatekeeper.
    pub gatekeeper: GatekeeperIndex,
    /// When it stopped sending.
    pub stopped: Moment,
    /// When it had an error or a close; none if neither came in time.
    pub ended: Option<Moment>,
}

/// Everything that was recorded.
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
    /// When so many gatekeepers lost the counter, or had it again.
    pub counter_changes: Vec<(Moment, usize)>,
    /// Lists that were written.
    pub notifications: Vec<Notification>,
    /// Requests that never became whole.
    pub partial_requests: Vec<PartialRequest>,
    /// Refused connections to a gatekeeper.
    pub refusals: Vec<(Moment, GatekeeperIndex)>,
    /// When this harness itself was late, and by how much.
    pub delays: Vec<(Moment, Duration)>,
}

/// A history that many threads record into.
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

    /// Changes the history.
    pub fn record<R>(&self, change: impl FnOnce(&mut History) -> R) -> R {
        change(&mut lock(&self.history))
    }

    /// History an attempt that came whole; returns its place.
    pub fn begin_attempt(&self, attempt: AttemptRecord) -> usize {
        self.record(|history| {
            history.attempts.push(attempt);
            history.attempts.len() - 1
        })
    }

    /// History the end of an attempt.
    pub fn end_attempt(&self, place: usize, outcome: AttemptOutcome) {
        let now = self.now();
        self.record(|history| {
            if let Some(attempt) = history.attempts.get_mut(place) {
                attempt.ended = Some(now);
                attempt.outcome = outcome;
            }
        });
    }

    /// A copy of all history.
    pub fn snapshot(&self) -> History {
        lock(&self.history).clone()
    }
}
