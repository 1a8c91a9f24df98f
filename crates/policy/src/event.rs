//! Events: the inputs that the driver passes to the state machine.

use crate::ids::{BackendId, RequestId, TenantId};
use crate::time::{Micros, Timestamp};

/// Whether a backend is eligible for new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// Eligible for new attempts.
    Ready,
    /// Not eligible: the backend finishes its requests in flight, and must not be sent new ones.
    Draining,
    /// Removed from the endpoint list.
    Gone,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEntry {
    /// The number under which this gatekeeper knows the backend.
    pub id: BackendId,
    /// Number of the backend's zone, comparable with [`Settings::zone`](crate::Settings::zone).
    pub zone: u8,
    /// Number of the backend's machine type, which no decision depends on.
    pub machine_type: u16,
    /// Number of the backend's cell within its zone, see [`DedupScope::Cell`](crate::DedupScope::Cell).
    pub cell: u16,
    /// Whether the backend is eligible for new attempts.
    pub state: BackendState,
    /// Number of the service that the backend serves, see
    /// [`RequestClass::service`](crate::RequestClass::service).
    pub service: u16,
    /// Capacity of the backend relative to other backends; 1 is usual. Values outside of 0.05 to 20 are
    /// clamped, and a value that is not finite counts as 1.
    pub size: f64,
    /// Time of the backend's most recent start, on the clock of the endpoint list; [`Timestamp::ZERO`] if it
    /// started long ago.
    pub started: Timestamp,
}

impl Default for BackendEntry {
    /// A ready backend of size 1 that started long ago.
    fn default() -> Self {
        Self {
            id: BackendId(0),
            zone: 0,
            machine_type: 0,
            cell: 0,
            state: BackendState::Ready,
            service: 0,
            size: 1.0,
            started: Timestamp::ZERO,
        }
    }
}

/// Which entries an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// All entries of a list that this gatekeeper stored earlier, which may be stale.
    Cached,
    /// All entries of the current list. Backends that are missing in the list count as gone.
    Full,
    /// Only the entries that changed since the previous update.
    Delta,
    /// No entries: a poll of the list failed.
    Failed,
}

/// How an attempt, a health check or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt was served, the check passed, or the counter answered.
    Ok,
    /// Answered with an error; the attempt may have run.
    Error,
    /// Rejected before execution; the attempt never ran.
    Rejected,
    /// No answer in time; the attempt may have run, or may still be running.
    Timeout,
    /// The connection to the backend could not be established; the attempt never ran.
    ConnectFailed,
    /// This gatekeeper could not start the attempt, for lack of a socket or of time. The attempt never ran,
    /// and the backend is not at fault.
    NotStarted,
    /// The connection broke; the attempt may have run.
    Reset,
    /// Cancelled by this gatekeeper; the attempt may have run.
    Cancelled,
    /// The driver discarded the attempt, for example because its request was over. The attempt never ran, and
    /// is not retried.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the backend never executed the attempt.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotStarted | Self::NotSent)
    }
}

/// One input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    Endpoints {
        /// Which entries the update contains.
        kind: ListKind,
        /// The entries; ignored if the kind is [`ListKind::Failed`].
        entries: Vec<BackendEntry>,
    },
    /// An operator ejected a backend, or readmitted an ejected backend.
    OperatorEjection {
        /// The backend, which need not be on the endpoint list.
        backend: BackendId,
        /// True to eject the backend, false to readmit it.
        ejected: bool,
    },
    /// A client's request arrived.
    Request {
        /// Identifies the request until the request has ended. An event with the id of an open request is
        /// ignored.
        id: RequestId,
        /// Number of the request's class in [`Settings::classes`](crate::Settings::classes).
        class: u16,
        /// Number of the tenant's plan in [`Settings::plans`](crate::Settings::plans).
        plan: u32,
        /// The tenant whose quota the request is charged to.
        tenant: TenantId,
        /// Time until the client gives up.
        time_left: Micros,
        /// Number of gatekeepers that receive this tenant's requests.
        tenant_gatekeepers: f64,
        /// Cost of the request in units; an estimate if
        /// [`Settings::estimated_costs`](crate::Settings::estimated_costs) is set.
        units: f64,
        /// Whether the client marked the request as a retry. No decision depends on this mark.
        client_retry: bool,
    },
    /// The answer of an attempt began to stream, so the request gets no further attempt.
    StreamStarted {
        /// The request that is being answered.
        id: RequestId,
        /// Number of the attempt within its request, from 0 in order of sending.
        attempt: u8,
    },
    /// An attempt ended: it was answered or cancelled, it failed, or it was never sent.
    AttemptEnded {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within its request, from 0 in order of sending.
        attempt: u8,
        /// The backend that the attempt was sent to.
        backend: BackendId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// Actual cost of the request in units; 0 if the answer did not state the cost.
        units: f64,
        /// Whether the client already has its answer, so that the state machine gives none.
        answered: bool,
        /// Values of the backend's load report; empty if there was none.
        load: Vec<f32>,
    },
    /// The client disconnected or cancelled its request.
    ClientGone {
        /// The request, which needs no answer any more.
        id: RequestId,
    },
    /// A timer that the driver set for an [`Action::Timer`](crate::Action::Timer) expired.
    Timer {
        /// The token of the [`Action::Timer`](crate::Action::Timer) that set the timer.
        token: u64,
    },
    /// A health check that an [`Action::HealthCheck`](crate::Action::HealthCheck) asked for ended.
    HealthCheckEnded {
        /// The backend that was checked.
        backend: BackendId,
        /// How the check ended.
        outcome: Outcome,
        /// Values of the backend's load report; empty if there was none.
        load: Vec<f32>,
    },
    /// A call to the shared counter ended, with or without an answer.
    CounterReply {
        /// Name of the count, as in [`Action::CounterAdd`](crate::Action::CounterAdd).
        name: u64,
        /// Sum of all units added to the count, after the call; valid only with [`Outcome::Ok`].
        total: f64,
        /// Time from the start of the call to its end.
        elapsed: Micros,
        /// How the call ended.
        outcome: Outcome,
    },
    /// Another gatekeeper sent a message, which the state machine ignores.
    PeerMessage,
}
