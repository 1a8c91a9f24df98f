//! The history of a run: a typed record for each kind of event, all timed by one monotonic clock.

use fault_harness::clock::ScheduleClock;
use fault_harness::outcome::Outcome;
use fault_harness::process::ExitRequest;
use fault_harness::stand_ins::{Arrival, AttemptOutcome, ListedState};
use fault_harness::sync::lock;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time since the recorder of the run was created.
pub type Moment = Duration;

/// Number of a gatekeeper, from 0.
pub type GatekeeperIndex = usize;

/// The name of a gatekeeper in its configuration and in violations.
pub(crate) fn gatekeeper_name(gatekeeper: GatekeeperIndex) -> String {
    format!("n{gatekeeper}")
}

/// Number of a backend, from 0.
pub type BackendIndex = usize;

/// A request's number, unique in a run. It includes the gatekeeper that the request was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestNumber(pub u64);

/// Number of low bits in a request's number that hold the serial number; the bits above them hold the gatekeeper.
const SERIAL_BITS: u32 = 32;

impl RequestNumber {
    /// Replaces a request id that cannot be parsed.
    pub const UNKNOWN: Self = Self(u64::MAX);

    /// Combines a gatekeeper with the serial number of a request that is sent to it.
    pub fn new(gatekeeper: GatekeeperIndex, serial: u32) -> Self {
        Self((gatekeeper as u64) << SERIAL_BITS | u64::from(serial))
    }

    /// The gatekeeper that the request was sent to.
    pub fn gatekeeper(self) -> GatekeeperIndex {
        (self.0 >> SERIAL_BITS) as usize
    }

    /// The request id on the wire: 16 hexadecimal digits.
    pub fn request_id(self) -> String {
        format!("{:016x}", self.0)
    }

    /// Parses a request id as it stands on the wire; none if it is not hexadecimal.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

/// A request that its client has sent completely.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Identifies the request in the run.
    pub number: RequestNumber,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Index of the request's tenant in the settings.
    pub tenant: usize,
    /// Units that the request takes from its tenant's quota.
    pub units: f64,
    /// Deadline of the request, as time from `sent`.
    pub deadline: Duration,
    /// Time at which the last byte of the request was written.
    pub sent: Moment,
    /// Time at which the client closed its connection, if it did so before the answer.
    pub disconnected: Option<Moment>,
    /// Time at which the client got its answer, closed the connection or stopped waiting.
    pub ended: Moment,
    /// How the request ended for the client.
    pub outcome: Outcome,
    /// Whether the request was the first one on its connection.
    pub is_first_on_connection: bool,
    /// Whether the client sent the request again on a new connection because the gatekeeper had closed an idle one.
    pub was_resent: bool,
}

/// Position of an attempt in [`History::attempts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptIndex(usize);

/// An attempt that a backend has received completely.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The request that the attempt belongs to; [`RequestNumber::UNKNOWN`] if the request's id cannot be parsed.
    pub request: RequestNumber,
    /// The backend that received the attempt.
    pub backend: BackendIndex,
    /// Time at which the first byte of the attempt was read.
    pub began: Moment,
    /// Time at which the last byte of the attempt was read.
    pub arrived: Moment,
    /// The time left until the deadline, as stated in the attempt; [`Duration::MAX`] if it states none.
    pub time_left: Duration,
    /// Time at which the attempt ended; none while the attempt is in flight.
    pub ended: Option<Moment>,
    /// How the attempt ended at the backend.
    pub outcome: AttemptOutcome,
}

/// An event in the life of a gatekeeper's process.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessEvent {
    /// The process was started.
    Started {
        /// Offset of the process's wall clock in microseconds.
        clock_offset_us: i64,
    },
    /// The process logged that it serves.
    Ready,
    /// The harness sent SIGTERM to the process.
    Terminated,
    /// The harness sent SIGKILL to the process.
    Killed,
    /// The process exited.
    Exited {
        /// Exit code, or the negative number of the signal that ended the process.
        exit_code: i32,
        /// How the harness had asked the process to exit.
        request: ExitRequest,
    },
    /// The process was resumed after a suspension.
    Suspended {
        /// Time at which the process was suspended.
        from: Moment,
    },
    /// The process logged a violation of one of its invariants.
    Violation {
        /// The log line about the violation.
        line: String,
    },
    /// The process panicked.
    Panicked {
        /// The log line about the panic.
        line: String,
    },
}

/// A process event with its time.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// Time of the event.
    pub at: Moment,
    /// The gatekeeper that the process runs.
    pub gatekeeper: GatekeeperIndex,
    /// Number of the process among those of its gatekeeper, from 0.
    pub process: usize,
    /// What happened to the process.
    pub event: ProcessEvent,
}

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// Time of the change.
    pub at: Moment,
    /// The backend that the change concerns.
    pub backend: BackendIndex,
    /// State of the backend after the change.
    pub state: ListedState,
    /// Whether the backend had just started.
    pub has_just_started: bool,
}

/// A change of a discovery agent's reachability.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryChange {
    /// Time at which the agent became reachable or unreachable.
    pub at: Moment,
    /// The gatekeeper that the agent serves.
    pub gatekeeper: GatekeeperIndex,
    /// Whether the agent answers after the change.
    pub is_reachable: bool,
}

/// A list update that was sent to a gatekeeper.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    /// Time at which the update was sent.
    pub at: Moment,
    /// The gatekeeper that the update was sent to.
    pub gatekeeper: GatekeeperIndex,
    /// Number of changes of the list so far. The update includes all of them.
    pub changes: usize,
}

/// A request of which the client sent only the start.
#[derive(Clone, Copy, Debug)]
pub struct PartialRequest {
    /// The gatekeeper that the start of the request was sent to.
    pub gatekeeper: GatekeeperIndex,
    /// Time at which the client stopped sending.
    pub stopped: Moment,
    /// Time at which the client got an error or a close; none if neither came while it waited.
    pub ended: Option<Moment>,
}

/// A change of the quota counter's reachability for some gatekeepers.
#[derive(Clone, Copy, Debug)]
pub struct CounterChange {
    /// Time at which the counter became reachable or unreachable.
    pub at: Moment,
    /// Number of gatekeepers that the counter became reachable or unreachable for.
    pub gatekeepers: usize,
}

/// A connection that a gatekeeper refused while it should have accepted it.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Time at which the client's connect failed.
    pub at: Moment,
    /// The gatekeeper that refused the connection.
    pub gatekeeper: GatekeeperIndex,
}

/// A measured scheduling delay of the harness itself.
#[derive(Clone, Copy, Debug)]
pub struct SchedulingDelay {
    /// Time at which the delayed thread ran.
    pub ended: Moment,
    /// How late the thread ran.
    pub delay: Duration,
}

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Time at which the schedule began, after all gatekeepers served.
    pub started: Moment,
    /// Requests that clients sent completely.
    pub requests: Vec<RequestRecord>,
    /// Attempts that backends received.
    pub attempts: Vec<AttemptRecord>,
    /// Events of the gatekeepers' processes.
    pub processes: Vec<ProcessRecord>,
    /// Changes of the endpoint list.
    pub list_changes: Vec<ListChange>,
    /// Changes of the discovery agents' reachability.
    pub discovery_changes: Vec<DiscoveryChange>,
    /// Changes of the counter's reachability.
    pub counter_changes: Vec<CounterChange>,
    /// List updates that were sent to gatekeepers.
    pub notifications: Vec<Notification>,
    /// Requests that their clients never completed.
    pub partial_requests: Vec<PartialRequest>,
    /// Connections that gatekeepers refused.
    pub refusals: Vec<Refusal>,
    /// Scheduling delays of the harness itself.
    pub delays: Vec<SchedulingDelay>,
}

/// Collects the history of a run from all threads. Clones share one history.
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
    /// The time since the recorder was created.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The clock by which the history is timed.
    pub fn clock(&self) -> ScheduleClock {
        self.clock
    }

    /// Changes the history under its lock.
    pub fn record<R>(&self, change: impl FnOnce(&mut History) -> R) -> R {
        change(&mut lock(&self.history))
    }

    /// Records an attempt that has arrived completely at a backend.
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

    /// Records the end of an attempt and its outcome.
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
