//! What the exchange needs of the backend side and of the counter client.

use crate::request::{Attempt, AttemptId};
use policy::Micros;

/// The backend side. No call may block.
pub trait Backends<Q>: Send + Sync {
    /// Makes an attempt; its end is reported with [`Exchange::attempt_ended`](crate::Exchange::attempt_ended), possibly before
    /// this returns.
    fn start(&self, attempt: Attempt<Q>);
    /// Cancels an attempt; its end is not reported any more.
    fn cancel(&self, attempt: AttemptId);
    /// Its request has its final answer: an attempt of which nothing is written yet ends with
    /// [`Outcome::Cancelled`](policy::Outcome::Cancelled); one that is under way goes on.
    fn withdraw(&self, attempt: AttemptId);
    /// Nothing of it may be written any more ([`Attempt::max_start_delay`]): an attempt that is not written completely ends with
    /// [`Outcome::NotStarted`](policy::Outcome::NotStarted); one that is goes on.
    fn end_unwritten(&self, attempt: AttemptId);
}

/// A call to the quota counter.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    /// Its number, for [`Exchange::counter_call_ended`](crate::Exchange::counter_call_ended).
    pub id: u64,
    /// The name of the count.
    pub name: u64,
    /// Units to add.
    pub units: f64,
    /// Expiry of a new name.
    pub ttl: Micros,
}

/// The counter client. No call may block.
pub trait QuotaCounter: Send + Sync {
    /// Makes a call; its end is reported with [`Exchange::counter_call_ended`](crate::Exchange::counter_call_ended), possibly
    /// before this returns.
    fn call(&self, call: CounterCall);
}
