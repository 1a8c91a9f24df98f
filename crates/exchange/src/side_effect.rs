//! Side effects: actions that the request table queues under the lock, and that the exchange performs without it.

use crate::fleet_clock::ClockOffset;
use crate::ports::CounterCall;
use crate::request::{Attempt, AttemptId, FinalAnswer, Reply};
use policy::Notice;
use std::collections::VecDeque;

/// An action that the exchange performs after it has released the table's lock.
pub(crate) enum SideEffect<Q, A> {
    /// Starts an attempt.
    Start(Attempt<Q>),
    /// Cancels an attempt.
    Cancel(AttemptId),
    /// Cancels an attempt of an answered request unless it has been written completely.
    Withdraw(AttemptId),
    /// Ends an attempt that is too late to be written, unless it has been written completely.
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

/// The queue of side effects that are to be performed, in order. Only one caller drains it at a time.
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

    /// Makes the caller the one that drains the queue. Returns false if another caller is already draining it.
    pub(crate) fn start_draining(&mut self) -> bool {
        !std::mem::replace(&mut self.is_draining, true)
    }

    /// Removes and returns the next side effect. If there is none, draining has ended, and another caller may start it.
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
