//! An open request and its attempts.

use crate::event::Outcome;
use crate::ids::{BackendId, TenantId};
use crate::time::{Micros, Timestamp};

/// An open request. It stays until all its attempts have ended, so that late outcomes find it.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) plan: usize,
    pub(crate) tenant: TenantId,
    pub(crate) deadline: Timestamp,
    pub(crate) attempts: Vec<Attempt>,
    /// It has its final answer, or needs none.
    pub(crate) answered: bool,
    /// Its answer has begun to stream.
    pub(crate) streaming: bool,
    pub(crate) price: Price,
    /// Units reported as spent while it waits for a total of the counter.
    pub(crate) provisional_spend: f64,
    /// The difference between the estimated and the actual cost has been charged.
    pub(crate) settled: bool,
}

/// What a request takes from its tenant's quota, in units.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Price {
    /// The cost, estimated until the answer tells the actual one.
    pub(crate) cost: f64,
    /// The cost with the surcharge.
    pub(crate) charged_cost: f64,
    /// Reserved above the estimate until the cost is settled.
    pub(crate) reserved: f64,
}

/// One attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    /// The backends that share idempotency keys with its backend.
    pub(crate) dedup_group: u32,
    pub(crate) sent_at: Timestamp,
    /// The connect deadline: at this moment the attempt has started, or never will.
    pub(crate) connect_deadline: Timestamp,
    /// `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
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

impl Request {
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// The earliest attempt that may have run.
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
