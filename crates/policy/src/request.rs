//! State of an open request and its attempts.

use crate::event::Outcome;
use crate::ids::{BackendId, TenantId};
use crate::time::{Micros, Timestamp};

/// An open request. The request is kept until all its attempts have ended, so that late outcomes can still be
/// recorded.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) plan: usize,
    pub(crate) tenant: TenantId,
    pub(crate) deadline: Timestamp,
    pub(crate) attempts: Vec<Attempt>,
    /// Whether the client has its final answer, or has disconnected.
    pub(crate) answered: bool,
    /// Whether the answer of the request has begun to stream.
    pub(crate) streaming: bool,
    pub(crate) price: Price,
    /// Units reported to the counter as spent while the request waits for the counter's reply.
    pub(crate) provisional_spend: f64,
    /// Whether the difference between the estimated and the actual cost has been charged.
    pub(crate) settled: bool,
}

/// The units that a request takes from its tenant's quota.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Price {
    /// Cost of the request in units, possibly estimated.
    pub(crate) cost: f64,
    /// Cost of the request in units, including the surcharge.
    pub(crate) charged_cost: f64,
    /// Units reserved in addition to the estimated cost, until the actual cost is settled.
    pub(crate) reserved: f64,
}

/// One attempt of a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    /// Number of the group of backends that share idempotency keys with the attempt's backend.
    pub(crate) dedup_group: u32,
    pub(crate) sent_at: Timestamp,
    /// By this time the attempt has a connection and was written, or it has failed and is never written.
    pub(crate) connect_deadline: Timestamp,
    /// How the attempt ended; `None` while the attempt is in flight.
    pub(crate) outcome: Option<Outcome>,
}

/// An attempt that ended, with its outcome and duration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) class: usize,
    pub(crate) plan: usize,
    pub(crate) backend: BackendId,
    pub(crate) sent_at: Timestamp,
    pub(crate) elapsed: Micros,
    pub(crate) outcome: Outcome,
}

impl Request {
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// The earliest attempt that the backend may have executed.
    pub(crate) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    pub(crate) fn was_sent_to(&self, backend: BackendId) -> bool {
        self.attempts.iter().any(|attempt| attempt.backend == backend)
    }
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}
