//! The traits that the backend side and the counter client implement.

use crate::request::{Attempt, AttemptId};
use policy::Micros;

/// The backend side. No call may block.
pub trait Backends<Q>: Send + Sync {
    /// Starts an attempt. Its end is reported with [`Exchange::attempt_ended`](crate::Exchange::attempt_ended), possibly before
    /// this returns.
    fn start(&self, attempt: Attempt<Q>);
    /// Cancels an attempt. Its end is not reported any more.
    fn cancel(&self, attempt: AttemptId);
    /// Withdraws an attempt whose request has its final answer. An attempt that is not written completely ends with
    /// [`Outcome::Cancelled`](policy::Outcome::Cancelled); any other continues.
    fn withdraw(&self, attempt: AttemptId);
    /// Ends an attempt that may not be written any more ([`Attempt::max_start_delay`]). An attempt that is not written completely
    /// ends with [`Outcome::NotStarted`](policy::Outcome::NotStarted); any other continues.
    fn end_unwritten(&self, attempt: AttemptId);
}

/// A call to the quota counter.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    /// The id for [`Exchange::counter_call_ended`](crate::Exchange::counter_call_ended).
    pub id: u64,
    /// The name of the count.
    pub name: u64,
    /// Units to add.
    pub units: f64,
    /// Expiry of the count, if the call creates it.
    pub ttl: Micros,
}

/// The counter client. No call may block.
pub trait QuotaCounter: Send + Sync {
    /// Makes a call. Its end is reported with [`Exchange::counter_call_ended`](crate::Exchange::counter_call_ended), possibly
    /// before this returns.
    fn call(&self, call: CounterCall);
}
