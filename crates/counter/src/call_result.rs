//! Results of calls to the counter.

use policy::Outcome;

/// How a call to the counter ended, and the sum of the count after it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallResult {
    /// [`CounterCall::id`](exchange::CounterCall::id) of the call.
    pub id: u64,
    /// [`Outcome::Ok`] if the units were added. Nothing was added with [`Outcome::Rejected`] and [`Outcome::ConnectFailed`]; with
    /// any other outcome, the units may have been added.
    pub outcome: Outcome,
    /// Sum of the units in the count after the call; 0 unless the outcome is [`Outcome::Ok`].
    pub total: f64,
}

/// Callback that gets the result of each call once, when the call ends.
pub type OnCallEnded = Box<dyn Fn(CallResult) + Send + Sync>;

impl CallResult {
    /// The result of a call that the counter answered with `total`, the sum of the count after the call.
    pub(crate) fn ok(id: u64, total: f64) -> Self {
        Self { id, outcome: Outcome::Ok, total }
    }

    /// The result of a call that was rejected or failed, so that the sum of the count is unknown.
    pub(crate) fn without_total(id: u64, outcome: Outcome) -> Self {
        Self { id, outcome, total: 0.0 }
    }
}
