//! Final answers: when a request is over, and why it failed.

use super::RequestTable;
use crate::counts::AnswerKind;
use crate::request::{FailureReason, FinalAnswer};
use crate::side_effect::SideEffect;
use policy::{Event, Micros, Outcome, RejectReason, RequestId, Timestamp};

/// A request that the policy gives up at most this many ticks before its deadline has run out of time.
const DEADLINE_TICKS: Micros = 4;
/// A build with seeded faults, for the checkers of the fault-injection harness, treats one request in this many wrongly.
const SEEDED_FAULT_PERIOD: u32 = 50;
/// Bytes that the seeded fault `holds` leaks with each such request.
const SEEDED_FAULT_LEAK: usize = 32 << 20;

impl<Q, A> RequestTable<Q, A> {
    /// The policy rejects a request.
    pub(super) fn reject(
        &mut self,
        now: Timestamp,
        id: RequestId,
        retry_after: Micros,
        reason: RejectReason,
    ) {
        self.statistics.count_reject_reason(reason);
        let reason = self.failure_reason(now, id);
        self.answer(id, FinalAnswer::Rejected { retry_after, reason });
    }

    /// The policy fails a request.
    pub(super) fn fail(&mut self, now: Timestamp, id: RequestId) {
        let reason = self.failure_reason(now, id);
        self.answer(id, FinalAnswer::Failed(reason));
    }

    /// Gives a request its final answer, unless it is over.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalAnswer<A>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(reply) = request.reply.take() else { return };
        self.statistics.request_answered(request.class, AnswerKind::of(&answer), request.is_streaming);
        // Before the answer is given: nothing of the request may be written after it.
        for attempt in request.open_attempts(id) {
            self.side_effects.push(SideEffect::Withdraw(attempt));
        }
        let has_open_attempts = request.has_open_attempts();
        if !loses_answer(id) {
            self.side_effects.push(SideEffect::Answer(reply, answer));
        }
        if !has_open_attempts {
            self.requests.remove(&id);
        }
    }

    /// Why the policy gives a request up now.
    fn failure_reason(&self, now: Timestamp, id: RequestId) -> FailureReason {
        let Some(request) = self.requests.get(&id) else { return FailureReason::NoCapacity };
        if now + DEADLINE_TICKS * self.timers.tick() >= request.deadline {
            return FailureReason::DeadlineExceeded;
        }
        match request.last_outcome {
            None if !self.backends.has_ready(request.service) => FailureReason::NoBackend,
            None | Some(Outcome::Rejected | Outcome::NotStarted | Outcome::NotSent) => {
                FailureReason::NoCapacity
            }
            Some(Outcome::ConnectFailed) => FailureReason::NoBackend,
            Some(Outcome::Timeout) => FailureReason::DeadlineExceeded,
            Some(Outcome::Ok | Outcome::Error | Outcome::Reset | Outcome::Cancelled) => {
                FailureReason::BackendFailed
            }
        }
    }

    /// The client of a request has disconnected: the request needs no answer.
    pub(crate) fn client_gone(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_over()) else { return };
        request.reply = None;
        self.statistics.client_disconnected();
        self.feed(now, Event::ClientGone { id });
        self.cancel_open_attempts(now, id, Outcome::Cancelled);
        self.remove_if_ended(id);
    }

    pub(super) fn deadline_expired(&mut self, now: Timestamp, id: RequestId) {
        self.cancel_open_attempts(now, id, Outcome::Timeout);
        // The policy answers before the deadline. If it ever did not, the request still gets its answer.
        if self.requests.get(&id).is_some_and(|request| !request.is_over()) {
            self.answer(id, FinalAnswer::Failed(FailureReason::DeadlineExceeded));
            self.feed(now, Event::ClientGone { id });
        }
        self.remove_if_ended(id);
    }

    /// Removes a request that is over and has no open attempt. Until then late outcomes of its attempts must find it.
    pub(super) fn remove_if_ended(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.is_over() && !request.has_open_attempts()) {
            self.requests.remove(&id);
        }
    }
}

/// Whether a build with seeded faults loses the answer of this request. Such a build may leak memory as well.
fn loses_answer(id: RequestId) -> bool {
    let has_seeded_fault = seeded_faults::ENABLED && id.0 % SEEDED_FAULT_PERIOD == SEEDED_FAULT_PERIOD - 1;
    if has_seeded_fault && seeded_faults::is_active("holds") {
        // Used by nothing else: without the black box the compiler leaves it out.
        std::mem::forget(std::hint::black_box(vec![1u8; SEEDED_FAULT_LEAK]));
    }
    has_seeded_fault && seeded_faults::is_active("answers")
}
