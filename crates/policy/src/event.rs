//! Events: what the driver tells the state machine.

use crate::ids::{BackendId, RequestId, TenantId};
use crate::time::{Micros, Timestamp};

/// Whether a backend is eligible for new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// Eligible.
    Ready,
    /// Finishes its requests in flight; nothing new may be sent.
    Draining,
    /// Withdrawn from the list.
    Gone,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEntry {
    /// The backend.
    pub id: BackendId,
    /// Its zone.
    pub zone: u8,
    /// Its machine type.
    pub machine_type: u16,
    /// Its cell, see [`DedupScope::Cell`](crate::DedupScope::Cell).
    pub cell: u16,
    /// Whether it is eligible.
    pub state: BackendState,
    /// The service that it belongs to.
    pub service: u16,
    /// Its size relative to other backends.
    pub size: f64,
    /// Clock of its most recent start; 0 for long ago.
    pub started: Timestamp,
}

impl Default for BackendEntry {
    /// A backend of size 1 that has been ready for long.
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

/// What an update of the endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The list as this gatekeeper last held it, possibly stale.
    Cached,
    /// The complete list.
    Full,
    /// Changed entries only.
    Delta,
    /// A poll failed; no entries.
    Failed,
}

/// How an attempt, a health check or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Rejected before execution; it never ran.
    Rejected,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// This gatekeeper could not begin it, for want of a socket or of time: it never ran, and says nothing of its backend.
    NotStarted,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled by this side; it may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotStarted | Self::NotSent)
    }
}

/// One event.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    Endpoints {
        /// What the update holds.
        kind: ListKind,
        /// Its entries.
        entries: Vec<BackendEntry>,
    },
    /// An operator ejected a backend, or admitted it again.
    OperatorEjection {
        /// The backend, on the list or not.
        backend: BackendId,
        /// It is ejected.
        ejected: bool,
    },
    /// A client's request arrived.
    Request {
        /// The request.
        id: RequestId,
        /// Number of its class.
        class: u16,
        /// Number of its tenant's plan.
        plan: u32,
        /// Its tenant.
        tenant: TenantId,
        /// How long until the client gives up.
        time_left: Micros,
        /// How many gatekeepers this tenant's requests come through.
        tenant_gatekeepers: f64,
        /// Its cost in units, possibly an estimate.
        units: f64,
        /// The client marked it as a retry.
        client_retry: bool,
    },
    /// The answer of an attempt began to stream.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt, numbered from 0 in order of sending.
        attempt: u8,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt, numbered from 0 in order of sending.
        attempt: u8,
        /// Its backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Micros,
        /// The actual cost in units, 0 if not told.
        units: f64,
        /// The request needs no further answer.
        answered: bool,
        /// The load report, empty if none.
        load: Vec<f32>,
    },
    /// The client disconnected or cancelled.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The value given with the timer.
        token: u64,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// The load report, empty if none.
        load: Vec<f32>,
    },
    /// A counter call ended.
    CounterReply {
        /// The name of the count.
        name: u64,
        /// The total after the call, valid with [`Outcome::Ok`].
        total: f64,
        /// The time since the call.
        elapsed: Micros,
        /// How it ended.
        outcome: Outcome,
    },
    /// Another gatekeeper sent a message; the decisions need none.
    PeerMessage,
}
