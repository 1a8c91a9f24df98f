//! Results of calls.

use policy::Outcome;

/// Result of a call to the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallResult {
    /// Id of the call.
    pub id: u64,
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Total of the count after the call; 0 unless the outcome is [`Outcome::Ok`].
    pub total: f64,
}

/// Called with the result of each call.
pub type OnCallEnded = Box<dyn Fn(CallResult) + Send + Sync>;

impl CallResult {
    /// The result of a call that the counter answered with a total.
    pub(crate) fn ok(id: u64, total: f64) -> Self {
        Self { id, outcome: Outcome::Ok, total }
    }

    /// The result of a call without a total.
    pub(crate) fn without_total(id: u64, outcome: Outcome) -> Self {
        Self { id, outcome, total: 0.0 }
    }
}
