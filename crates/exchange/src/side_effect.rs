//! What the table asks the exchange to do after it has released the lock.

use crate::fleet_clock::ClockOffset;
use crate::ports::CounterCall;
use crate::request::{Attempt, AttemptId, FinalAnswer, Reply};
use policy::Notice;
use std::collections::VecDeque;

/// One side effect.
pub(crate) enum SideEffect<Q, A> {
    /// Starts an attempt.
    Start(Attempt<Q>),
    /// Cancels an attempt.
    Cancel(AttemptId),
    /// Cancels an attempt of an answered request if nothing of it has been written.
    Withdraw(AttemptId),
    /// Ends an attempt that has not been written completely.
    EndUnwritten(AttemptId),
    /// Gives a request its final answer.
    Answer(Reply<A>, FinalAnswer<A>),
    /// Calls the counter.
    CallCounter(CounterCall),
    /// Logs a notice of the policy.
    Log(Notice),
    /// Logs that the estimate of the clock offset has changed.
    LogClockOffset(ClockOffset),
}

/// The side effects that wait to be performed, in order. At most one caller drains the queue at a time.
pub(crate) struct SideEffects<Q, A> {
    queue: VecDeque<SideEffect<Q, A>>,
    is_draining: bool,
}

impl<Q, A> Default for SideEffects<Q, A> {
    fn default() -> Self {
        Self { queue: VecDeque::new(), is_draining: false }
    }
}

impl<Q, A> SideEffects<Q, A> {
    pub(crate) fn push(&mut self, side_effect: SideEffect<Q, A>) {
        self.queue.push_back(side_effect);
    }

    /// Makes the caller the one that drains the queue. Returns false if another caller drains it already.
    pub(crate) fn start_draining(&mut self) -> bool {
        !std::mem::replace(&mut self.is_draining, true)
    }

    /// Takes the next side effect. Draining ends when there is none.
    pub(crate) fn next(&mut self) -> Option<SideEffect<Q, A>> {
        let next = self.queue.pop_front();
        self.is_draining = next.is_some();
        next
    }

    #[cfg(test)]
    pub(crate) fn queued(&self) -> impl Iterator<Item = &SideEffect<Q, A>> {
        self.queue.iter()
    }
}
