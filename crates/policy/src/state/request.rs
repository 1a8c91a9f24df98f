//! An open request and its attempts.

use crate::event::Outcome;
use crate::ids::{BackendId, TenantId};
use crate::time::{Micros, Timestamp};

/// An open request. It stays until all its attempts have ended.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) plan: usize,
    pub(crate) tenant: TenantId,
    pub(crate) deadline: Timestamp,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answered: bool,
    pub(crate) streaming: bool,
    /// Its cost in units, estimated until its answer tells the actual one.
    pub(crate) cost: f64,
    /// The cost with the surcharge.
    pub(crate) charged_cost: f64,
    /// Units reported as spent while it waits for a total.
    pub(crate) provisional_spend: f64,
    /// Units reserved above the estimate.
    pub(crate) reserved: f64,
    pub(crate) settled: bool,
}

/// One attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    /// The backends that share idempotency keys with its backend.
    pub(crate) dedup_group: u32,
    pub(crate) sent_at: Timestamp,
    /// By then it has begun, or never will.
    pub(crate) begins_by: Timestamp,
    /// None while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// An attempt that ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) class: usize,
    pub(crate) plan: usize,
    pub(crate) backend: BackendId,
    pub(crate) sent_at: Timestamp,
    pub(crate) elapsed: Micros,
    pub(crate) outcome: Outcome,
}
