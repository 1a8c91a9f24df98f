//! Side effects: actions that the request table queues under the lock, and that the exchange performs without it.

use crate::fleet_clock::ClockOffset;
use crate::ports::CounterCall;
use crate::request::{Attempt, AttemptId, FinalAnswer, Reply};
use policy::Notice;
use std::collections::VecDeque;

/// An action that the exchange performs after it has released the table's lock.
pub(crate) enum SideEffect<Q, A> {
    /// Asks the backend side to send an attempt.
    Start(Attempt<Q>),
    /// Asks the backend side to cancel an attempt, whether or not it has been written.
    Cancel(AttemptId),
    /// Asks the backend side to cancel an attempt of an answered request, unless the attempt has been written completely.
    Withdraw(AttemptId),
    /// Asks the backend side to end an attempt that has reached [`Attempt::max_start_delay`], unless the attempt has been written
    /// completely.
    EndUnwritten(AttemptId),
    /// Passes the final answer of a request to the front's callback.
    Answer(Reply<A>, FinalAnswer<A>),
    /// Makes a call to the quota counter.
    CallCounter(CounterCall),
    /// Logs a state change that the policy reports for operators.
    Log(Notice),
    /// Logs the new estimate of the offset of this process's clock from the fleet's clock.
    LogClockOffset(ClockOffset),
}

/// The queue of side effects that are to be performed, in order. Only one caller drains the queue at a time.
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

    /// Removes and returns the next side effect. If the queue is empty, draining has ended, and another caller may start to drain
    /// the queue.
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
