//! The traits that the backend side and the counter client implement.

use crate::request::{Attempt, AttemptId};
use policy::Micros;

/// The backend side, which sends attempts to backends. No method may block.
pub trait Backends<Q>: Send + Sync {
    /// Starts an attempt. The backend side reports the end of the attempt with
    /// [`Exchange::attempt_ended`](crate::Exchange::attempt_ended), possibly before this returns.
    fn start(&self, attempt: Attempt<Q>);
    /// Cancels an attempt. The end of a cancelled attempt need not be reported.
    fn cancel(&self, attempt: AttemptId);
    /// Cancels an attempt whose request has its final answer. If the attempt has not been written completely, it ends with
    /// [`Outcome::Cancelled`](policy::Outcome::Cancelled); otherwise it continues.
    fn cancel_unwritten(&self, attempt: AttemptId);
    /// Ends an attempt that has reached [`Attempt::max_start_delay`]. If it has not been written completely, it ends with
    /// [`Outcome::NotStarted`](policy::Outcome::NotStarted); otherwise it continues.
    fn expire_unwritten(&self, attempt: AttemptId);
}

/// A call to the quota counter.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    /// Identifies the call in [`Exchange::counter_call_ended`](crate::Exchange::counter_call_ended).
    pub id: u64,
    /// Name of the count that the call reads or adds to. Calls with the same name share a count.
    pub name: u64,
    /// Amount to add to the count: units of the quota, or ticks of the fleet's clock. 0 only reads the count.
    pub units: f64,
    /// Time until the count expires, if this call creates it. The counter keeps the expiry of an existing count.
    pub ttl: Micros,
}

/// The client of the quota counter. No method may block.
pub trait QuotaCounter: Send + Sync {
    /// Makes a call to the counter. The client reports the end of the call with
    /// [`Exchange::counter_call_ended`](crate::Exchange::counter_call_ended), possibly before this returns.
    fn call(&self, call: CounterCall);
}
