//! Attempts of requests: their start, end and cancellation, and the streamed answers.

use super::RequestTable;
use crate::in_flight::InFlightAttempt;
use crate::request::{Attempt, AttemptEnd, AttemptId, FailureReason, FinalAnswer, StreamEnd};
use crate::side_effect::SideEffect;
use crate::timers::Timer;
use policy::{BackendId, Event, Micros, Outcome, RequestId, Timestamp};

impl<Q, A> RequestTable<Q, A> {
    /// Starts an attempt. If the request is over, past its deadline or without attempts left, the attempt ends as not sent.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        id: RequestId,
        backend: BackendId,
        timeout: Micros,
        max_start_delay: Micros,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = AttemptId { request: id, attempt: request.attempts.len() as u8 };
        let attempts_are_exhausted = request.attempts.len() >= self.max_attempts;
        let must_not_be_sent = request.is_over() || now >= request.deadline || attempts_are_exhausted;
        if !must_not_be_sent && !request.attempts.is_empty() {
            self.repeat_rules.check_further_attempt(now, id, request.class, &request.attempts);
        }
        request.attempts.push(InFlightAttempt { backend, sent_at: now, outcome: None });
        if must_not_be_sent {
            self.close_attempt(now, attempt, Outcome::NotSent, Vec::new());
            self.remove_if_ended(id);
            return;
        }
        let is_first = attempt.attempt == 0;
        if is_first {
            self.statistics.count_units(request.account, request.admission.units);
            if let Some(listener) = &self.admission_listener {
                listener(request.admission);
            }
        }
        self.backends.attempt_started(backend);
        let mut time_left = request.deadline - now;
        if timeout > 0 && timeout < time_left {
            time_left = timeout;
            self.timers.set(now + timeout, Timer::Attempt(attempt));
        }
        if max_start_delay < time_left {
            self.timers.set(now + max_start_delay, Timer::WriteDeadline(attempt));
        }
        let payload = request.payload.clone();
        let attempt = Attempt { id: attempt, backend, decided_at: now, time_left, max_start_delay, payload };
        self.side_effects.push(SideEffect::Start(attempt));
    }

    /// Sets the outcome of an open attempt and queues the event for the policy. Returns whether the attempt was open.
    fn close_attempt(&mut self, now: Timestamp, id: AttemptId, outcome: Outcome, load: Vec<f32>) -> bool {
        let Some(request) = self.requests.get_mut(&id.request) else { return false };
        let is_over = request.is_over();
        let attempt = request.attempts.get_mut(usize::from(id.attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.is_open()) else { return false };
        attempt.outcome = Some(outcome);
        request.last_outcome = Some(outcome);
        self.backends.attempt_ended(attempt.backend);
        self.events.push_back(Event::AttemptEnded {
            id: id.request,
            attempt: id.attempt,
            backend: attempt.backend,
            outcome,
            elapsed: now - attempt.sent_at,
            units: 0.0,
            answered: is_over || outcome == Outcome::Ok,
            load,
        });
        true
    }

    /// Ends an open attempt with this outcome, and has the backend side cancel it.
    pub(super) fn cancel_attempt(&mut self, now: Timestamp, id: AttemptId, outcome: Outcome) {
        if self.close_attempt(now, id, outcome, Vec::new()) {
            self.side_effects.push(SideEffect::Cancel(id));
        }
    }

    pub(super) fn cancel_open_attempts(&mut self, now: Timestamp, id: RequestId, outcome: Outcome) {
        let attempts = self.requests.get(&id).map_or(0, |request| request.attempts.len());
        for attempt in 0..attempts {
            self.cancel_attempt(now, AttemptId { request: id, attempt: attempt as u8 }, outcome);
        }
        self.run_events(now);
    }

    pub(super) fn attempt_timed_out(&mut self, now: Timestamp, id: AttemptId) {
        self.cancel_attempt(now, id, Outcome::Timeout);
        self.run_events(now);
        self.remove_if_ended(id.request);
    }

    /// Applies the end of an attempt. The end of an attempt that has already ended is ignored.
    pub(crate) fn attempt_ended(&mut self, now: Timestamp, id: AttemptId, end: AttemptEnd<A>) {
        if !self.close_attempt(now, id, end.outcome, end.load) {
            return;
        }
        if let Some(answer) = end.answer.filter(|_| end.outcome == Outcome::Ok) {
            let final_answer =
                if end.is_streaming { self.start_stream(id, answer) } else { FinalAnswer::Served(answer) };
            self.answer(id.request, final_answer);
        }
        self.run_events(now);
        self.remove_if_ended(id.request);
    }

    /// Records that the answer of a request has begun to stream, and returns the final answer. The request fails if a shutdown
    /// leaves no time to stream; dropping `answer` then cancels the stream.
    fn start_stream(&mut self, id: AttemptId, answer: A) -> FinalAnswer<A> {
        let request = self.requests.get_mut(&id.request).filter(|request| !request.is_over());
        let Some(request) = request else { return FinalAnswer::Served(answer) };
        if !request.may_stream {
            self.streams.count_refused();
            return FinalAnswer::Failed(FailureReason::DeadlineExceeded);
        }
        request.is_streaming = true;
        self.streams.open(id, request.class);
        FinalAnswer::Served(answer)
    }

    /// Counts a streamed answer in the class of its request when the stream ends.
    pub(crate) fn stream_ended(&mut self, id: AttemptId, end: StreamEnd) {
        // If the request was over when the answer began, the stream was not recorded as open.
        let Some(class) = self.streams.close(id) else { return };
        self.statistics.stream_ended(class, end);
    }

    pub(crate) fn open_streams(&self) -> usize {
        self.streams.count()
    }

    pub(crate) fn refused_streams(&self) -> usize {
        self.streams.refused_count()
    }
}
