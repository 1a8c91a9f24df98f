//! What is to be done once the lock is released.

use crate::fleet_clock::ClockOffset;
use crate::ports::CounterCall;
use crate::request::{Attempt, AttemptId, FinalAnswer, Reply};
use policy::Notice;

/// One side effect. Side effects are carried out in order.
pub(crate) enum SideEffect<Q, A> {
    Start(Attempt<Q>),
    Cancel(AttemptId),
    Withdraw(AttemptId),
    EndUnwritten(AttemptId),
    Answer(Reply<A>, FinalAnswer<A>),
    CallCounter(CounterCall),
    Log(Notice),
    /// The estimate of the clock offset has changed.
    LogClockOffset(ClockOffset),
}
