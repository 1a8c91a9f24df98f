//! Final answers: when a request gets one or needs none any more, and why it failed.

use super::RequestTable;
use crate::counts::AnswerKind;
use crate::request::{FailureReason, FinalAnswer};
use crate::side_effect::SideEffect;
use policy::{Event, Micros, Outcome, RejectReason, RequestId, Timestamp};

/// A request that the policy rejects or fails within this many ticks of its deadline counts as one that exceeded its deadline.
const DEADLINE_MARGIN_TICKS: Micros = 4;
/// In a build with seeded faults, an active fault of this module affects one request in this many.
const SEEDED_FAULT_PERIOD: u32 = 50;
/// Bytes that the seeded fault `holds` leaks for each affected request.
const SEEDED_FAULT_LEAK_BYTES: usize = 32 << 20;

impl<Q, A> RequestTable<Q, A> {
    /// Applies the policy's rejection of a request.
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

    /// Applies the policy's decision that a request has failed.
    pub(super) fn fail(&mut self, now: Timestamp, id: RequestId) {
        let reason = self.failure_reason(now, id);
        self.answer(id, FinalAnswer::Failed(reason));
    }

    /// Gives a request its final answer, unless it already has one or its client has disconnected.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalAnswer<A>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(reply) = request.reply.take() else { return };
        self.statistics.request_answered(request.class, AnswerKind::of_answer(&answer), request.is_streaming);
        // Withdrawals are queued before the answer, since nothing of the request may be written to a backend after its answer.
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

    /// The reason that the client is given if the policy rejects or fails a request now.
    fn failure_reason(&self, now: Timestamp, id: RequestId) -> FailureReason {
        let Some(request) = self.requests.get(&id) else { return FailureReason::NoCapacity };
        if now + DEADLINE_MARGIN_TICKS * self.timers.tick() >= request.deadline {
            return FailureReason::DeadlineExceeded;
        }
        match request.last_outcome {
            None if !self.backends.has_ready_backend(request.service) => FailureReason::NoBackend,
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

    /// Applies the disconnection of a request's client: the request needs no answer, and its attempts are cancelled.
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
        // The policy normally ends each request before its deadline. If the policy does not, the request still gets its answer
        // here.
        if self.requests.get(&id).is_some_and(|request| !request.is_over()) {
            self.answer(id, FinalAnswer::Failed(FailureReason::DeadlineExceeded));
            self.feed(now, Event::ClientGone { id });
        }
        self.remove_if_ended(id);
    }

    /// Removes a request that is over and has no open attempts. A request stays until then, since the ends of its attempts refer
    /// to it.
    pub(super) fn remove_if_ended(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.is_over() && !request.has_open_attempts()) {
            self.requests.remove(&id);
        }
    }
}

/// Whether the seeded fault `answers` drops the answer of this request. The seeded fault `holds` leaks memory here.
fn loses_answer(id: RequestId) -> bool {
    let has_seeded_fault = seeded_faults::ENABLED && id.0 % SEEDED_FAULT_PERIOD == SEEDED_FAULT_PERIOD - 1;
    if has_seeded_fault && seeded_faults::is_active("holds") {
        // Nothing uses the allocation, so the compiler would remove it without `black_box`.
        std::mem::forget(std::hint::black_box(vec![1u8; SEEDED_FAULT_LEAK_BYTES]));
    }
    has_seeded_fault && seeded_faults::is_active("answers")
}
