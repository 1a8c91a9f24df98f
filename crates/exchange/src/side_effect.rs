//! What is to be done once the lock is released.

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
    /// The clock was found to be so many microseconds ahead of the fleet's.
    LogClockOffset(i64),
}
