//! Attempts: first attempts, retries and hedged requests, and the final answer when none succeeds.

use crate::action::{Action, RejectReason};
use crate::attempt_rules::AttemptRules;
use crate::backend_latency::MAX_RELATIVE_LATENCY;
use crate::event::Outcome;
use crate::ids::{BackendId, RequestId};
use crate::latency_trend::OVERLOAD_LATENCY_RATIO;
use crate::outlier_detection::trial_interval;
use crate::request::{Attempt, EndedAttempt, Request};
use crate::retry_budget::RetryBudget;
use crate::settings::RequestClass;
use crate::state_machine::{Actions, Policy};
use crate::time::Micros;
use crate::timer_token::hedge_token;

/// Default delay of a hedged request, as a fraction of the latency objective.
const HEDGE_DELAY_FRACTION: f64 = 0.4;

impl Policy {
    /// Sends an attempt of an open request to a backend.
    pub(crate) fn send(&mut self, id: RequestId, backend_id: BackendId, out: &mut Actions) {
        let (now, settings) = (self.now, &self.settings);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(backend) = self.backends.get_mut(backend_id) else { return };
        let rules = AttemptRules::new(settings, now);
        let max_start_delay = rules.start_deadline(request).saturating_since(now);
        let attempt = request.attempts.len() as u8;
        request.attempts.push(Attempt {
            backend: backend_id,
            dedup_group: rules.dedup_group(request.class, &backend.entry),
            sent_at: now,
            connect_deadline: now + settings.connect_timeout + settings.tick,
            outcome: None,
        });
        backend.load.record_send();
        backend.slow_start.spend_token();
        backend.health.record_send(request.class, now + trial_interval(settings));
        let class = &settings.classes[request.class];
        self.pools[usize::from(class.service)].concurrency.record_send(now);
        self.tenants.entry(request.tenant).and_modify(|quota| quota.in_flight.record_send());
        out.push(Action::Send { id, backend: backend_id, timeout: class.attempt_timeout, max_start_delay });
        out.push(Action::Timer { after: hedge_delay(class), token: hedge_token(id, attempt) });
    }

    /// Sends a hedged request in addition to a slow attempt. The hedged request is sent only if the slow
    /// attempt is the latest one, its backend has answered nothing since, the retry budget and the
    /// concurrency limit allow one more attempt, the latency trend shows no overload, and the class allows a
    /// further attempt.
    pub(crate) fn send_hedged_request(&mut self, id: RequestId, attempt: usize, out: &mut Actions) {
        let Some(request) = self.requests.get(&id) else { return };
        let slow = request.attempts.get(attempt).filter(|attempt| attempt.is_in_flight());
        let Some(&Attempt { sent_at, backend, .. }) = slow else { return };
        let is_latest = attempt + 1 == request.attempts.len();
        let class = request.class;
        let relative = self.class_stats[class].relative_latency(self.now - sent_at);
        // The attempt is already known to be slow, so its latency is recorded before its answer arrives.
        self.update_concurrency_limit(class, 1.0, sent_at);
        self.record_relative_latency(class, backend, relative.min(MAX_RELATIVE_LATENCY));
        let is_answering = self.backends.get(backend).is_some_and(|b| b.health.has_answered_since(sent_at));
        let is_overloaded = self.latency_ratio() < OVERLOAD_LATENCY_RATIO;
        if is_answering || !is_latest || !self.retry_budget.covers_hedge() || is_overloaded {
            return;
        }
        if let Some(backend) = self.select_for_hedge(id) {
            self.retry_budget.spend_hedge();
            self.send(id, backend, out);
        }
    }

    /// Selects a backend for a hedged request, if the concurrency limit admits one more attempt.
    fn select_for_hedge(&mut self, id: RequestId) -> Option<BackendId> {
        self.with_request_removed(id, |policy, request| {
            policy.has_capacity(request).then(|| policy.select_backend(request)).flatten()
        })
    }

    /// Selects a backend for a retry. A retry replaces an attempt that has ended, so the concurrency limit is
    /// not checked.
    fn select_for_retry(&mut self, id: RequestId) -> Option<BackendId> {
        self.with_request_removed(id, Self::select_backend)
    }

    /// Selects a backend while the request is removed from the open requests, so that the attempts of this
    /// request do not count towards the concurrency limit.
    fn with_request_removed(
        &mut self,
        id: RequestId,
        select: impl FnOnce(&mut Self, &Request) -> Option<BackendId>,
    ) -> Option<BackendId> {
        let request = self.requests.remove(&id)?;
        let backend = select(self, &request);
        self.requests.insert(id, request);
        backend
    }

    pub(crate) fn on_attempt_ended(
        &mut self,
        id: RequestId,
        attempt: u8,
        outcome: Outcome,
        elapsed: Micros,
        out: &mut Actions,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (class, plan, tenant) = (request.class, request.plan, request.tenant);
        let attempt = request.attempts.get_mut(usize::from(attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight()) else { return };
        attempt.outcome = Some(outcome);
        let (sent_at, backend) = (attempt.sent_at, attempt.backend);
        self.tenants.entry(tenant).and_modify(|quota| quota.in_flight.record_end());
        if let Some(backend) = self.backends.get_mut(backend) {
            backend.load.record_end();
        }
        self.record_outcome(EndedAttempt { class, plan, backend, sent_at, elapsed, outcome });
        if outcome != Outcome::Ok && self.requests.get(&id).is_some_and(|request| !request.answered) {
            self.retry_or_give_up(id, outcome, out);
        }
        self.remove_if_finished(id);
    }

    /// Retries after a failed attempt, if the budget and the class allow it. Otherwise gives the final answer
    /// once no attempt is in flight.
    fn retry_or_give_up(&mut self, id: RequestId, outcome: Outcome, out: &mut Actions) {
        let cost = RetryBudget::retry_cost(outcome);
        let may_retry = outcome != Outcome::NotSent && self.retry_budget.covers(cost);
        let backend = may_retry.then(|| self.select_for_retry(id)).flatten();
        if let Some(backend) = backend {
            self.retry_budget.spend(cost);
            self.send(id, backend, out);
        } else if !self.requests.get(&id).is_some_and(Request::has_attempt_in_flight) {
            self.give_up_request(id, out);
        }
    }

    /// Gives up an unanswered request: rejects it if the client can safely retry, and fails it otherwise.
    pub(crate) fn give_up_request(&mut self, id: RequestId, out: &mut Actions) {
        let unanswered = self.requests.get(&id).filter(|request| !request.answered && !request.streaming);
        let Some(request) = unanswered else { return };
        let retry_after = self.retry_after(request);
        let may_reject = AttemptRules::new(&self.settings, self.now).may_reject(request);
        out.push(if may_reject {
            Action::Reject { id, retry_after, reason: RejectReason::AttemptsExhausted }
        } else {
            Action::Fail { id }
        });
        self.mark_answered(id);
    }

    /// Marks a request as answered, so that it gets no further answer or attempt.
    pub(crate) fn mark_answered(&mut self, id: RequestId) {
        self.requests.entry(id).and_modify(|request| request.answered = true);
        self.remove_if_finished(id);
    }

    /// Removes a request that is answered and has no attempt in flight.
    fn remove_if_finished(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.answered && !request.has_attempt_in_flight() {
            self.settle_cost(id, 0.0);
            self.requests.remove(&id);
        }
    }
}

/// Microseconds after the start of an attempt at which a hedged request is considered.
fn hedge_delay(class: &RequestClass) -> Micros {
    let default = (class.latency_objective as f64 * HEDGE_DELAY_FRACTION) as Micros;
    if class.hedge_after > 0 { class.hedge_after } else { default }
}
