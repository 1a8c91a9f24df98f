//! Attempts of the requests in the table.

use super::{RequestTable, repeat_guard};
use crate::counts::{AnswerKind, BackendStatus};
use crate::in_flight::InFlightAttempt;
use crate::request::{Attempt, AttemptEnd, AttemptId, FinalAnswer, StreamEnd};
use crate::side_effect::SideEffect;
use crate::timers::Timer;
use policy::{BackendId, BackendState, Event, Micros, Outcome, RequestId, Timestamp};

impl<Q, A> RequestTable<Q, A> {
    /// Starts an attempt, unless its request is over.
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
        let is_exhausted = request.attempts.len() >= self.max_attempts;
        let is_pointless = request.is_over() || now >= request.deadline || is_exhausted;
        let earlier = &request.attempts[..];
        if !is_pointless && !earlier.is_empty() {
            repeat_guard::check(now, id, &self.repeat_rules, request.class, earlier);
        }
        request.attempts.push(InFlightAttempt { backend, sent_at: now, is_open: true, outcome: None });
        if is_pointless {
            self.close_attempt(now, attempt, Outcome::NotSent, Vec::new());
            self.remove_if_over(id);
            return;
        }
        let payload = request.payload.clone();
        let mut time_left = request.deadline - now;
        if attempt.attempt == 0 {
            self.count_admission(id);
        }
        let idle = BackendStatus { state: BackendState::Ready, in_flight: 0 };
        self.status.backends.entry(backend).or_insert(idle).in_flight += 1;
        if timeout > 0 && timeout < time_left {
            time_left = timeout;
            self.timers.set(now + timeout, Timer::Attempt(attempt));
        }
        if max_start_delay < time_left {
            self.timers.set(now + max_start_delay, Timer::StartBy(attempt));
        }
        let attempt = Attempt { id: attempt, backend, decided_at: now, time_left, max_start_delay, payload };
        self.side_effects.push_back(SideEffect::Start(attempt));
    }

    /// Counts the units of a request that is forwarded for the first time, and tells the listener.
    fn count_admission(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let units = request.admission.units;
        self.status.units_forwarded += units;
        if let Some(account) = request.account {
            *self.status.accounts.entry(account).or_insert(0.0) += units;
        }
        if let Some(listener) = &self.admission_listener {
            listener(request.admission);
        }
    }

    /// Closes an attempt in the table and queues its end for the policy. Returns whether it was open.
    fn close_attempt(&mut self, now: Timestamp, id: AttemptId, outcome: Outcome, load: Vec<f32>) -> bool {
        let Some(request) = self.requests.get_mut(&id.request) else { return false };
        let is_over = request.is_over();
        let attempt = request.attempts.get_mut(usize::from(id.attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.is_open) else { return false };
        attempt.is_open = false;
        attempt.outcome = Some(outcome);
        request.last_outcome = Some(outcome);
        if let Some(backend) = self.status.backends.get_mut(&attempt.backend) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
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

    /// Ends an attempt from this side.
    pub(super) fn cancel_attempt(&mut self, now: Timestamp, id: AttemptId, outcome: Outcome) {
        if self.close_attempt(now, id, outcome, Vec::new()) {
            self.side_effects.push_back(SideEffect::Cancel(id));
        }
    }

    pub(super) fn cancel_open_attempts(&mut self, now: Timestamp, id: RequestId, outcome: Outcome) {
        let attempts = self.requests.get(&id).map_or(0, |request| request.attempts.len());
        for attempt in 0..attempts {
            self.cancel_attempt(now, AttemptId { request: id, attempt: attempt as u8 }, outcome);
        }
        self.run_events(now);
    }

    pub(super) fn withdraw_open_attempts(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let open = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_open);
        for (attempt, _) in open {
            let attempt = AttemptId { request: id, attempt: attempt as u8 };
            self.side_effects.push_back(SideEffect::Withdraw(attempt));
        }
    }

    pub(crate) fn attempt_ended(&mut self, now: Timestamp, id: AttemptId, end: AttemptEnd<A>) {
        if !self.close_attempt(now, id, end.outcome, end.load) {
            return;
        }
        if let Some(answer) = end.answer.filter(|_| end.outcome == Outcome::Ok) {
            if end.is_streaming {
                self.stream_started(id);
            }
            self.answer(id.request, FinalAnswer::Served(answer));
        }
        self.run_events(now);
        self.remove_if_over(id.request);
    }

    fn stream_started(&mut self, id: AttemptId) {
        let request = self.requests.get_mut(&id.request).filter(|request| !request.is_over());
        if let Some(request) = request {
            request.is_streaming = true;
            self.streams.insert(id, request.class);
        }
    }

    pub(crate) fn stream_ended(&mut self, id: AttemptId, end: StreamEnd) {
        // Nobody waited for it any more when it began.
        let Some(class) = self.streams.remove(&id) else { return };
        self.counts.pending -= 1;
        if let Some(kind) = AnswerKind::of_stream(end) {
            self.count(class, kind);
        }
    }

    pub(crate) fn open_streams(&self) -> usize {
        self.streams.len()
    }
}
