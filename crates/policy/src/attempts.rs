//! Attempts: sending, retries within what a class permits, hedged requests, and the final answer.

use crate::action::{Action, RejectReason};
use crate::estimates::{MIN_LATENCY_RATIO, WORST_LATENCY};
use crate::event::Outcome;
use crate::ids::{BackendId, RequestId};
use crate::settings::{DedupScope, Idempotency};
use crate::state::{Attempt, Backend, EndedAttempt, Request};
use crate::state_machine::{Actions, Policy};
use crate::time::{Micros, Timestamp};
use crate::timer_token::hedge_token;

/// Part of the objective after which a hedged request is worth its work.
const HEDGE_PART: f64 = 0.4;
/// Retries that an admitted request adds to the budget.
const BUDGET_PER_REQUEST: f64 = 0.1;
/// Budget that a hedged request takes. A failed attempt has to be made again, and takes one; a slow one
/// mostly still answers, and its work goes on though it is cancelled.
const HEDGE_COST: f64 = 5.0;
/// Part of the time in which backends drop duplicates that is left for the journey of a retry.
const DEDUP_MARGIN: f64 = 0.15;
/// us; the same at the least: a gatekeeper may be held up for 0.15 s between reading its clock and writing.
const MIN_DEDUP_MARGIN: Micros = 160_000;

impl Policy {
    /// Retries that the budget holds at the most.
    pub(crate) const MAX_RETRY_BUDGET: f64 = 10.0;

    pub(crate) fn earn_retry_budget(&mut self) {
        self.retry_budget = (self.retry_budget + BUDGET_PER_REQUEST).min(Self::MAX_RETRY_BUDGET);
    }

    /// A number for the backends that share idempotency keys with this one.
    fn dedup_group(&self, class: usize, backend: &Backend) -> u32 {
        let (zone, cell) = (u32::from(backend.entry.zone), u32::from(backend.entry.cell));
        match self.settings.classes[class].dedup_scope {
            DedupScope::All => 0,
            DedupScope::Zone => zone,
            DedupScope::Cell => zone << 16 | cell,
        }
    }

    /// Whether a further attempt at this backend keeps the rule that nothing takes effect twice.
    pub(crate) fn may_attempt(&self, request: &Request, backend: &Backend) -> bool {
        let is_over = request.answered || request.streaming || self.now >= request.deadline;
        let is_hedged = request.attempts.iter().any(Attempt::is_in_flight);
        let class = &self.settings.classes[request.class];
        let limit = self.settings.max_attempts;
        let limit = if class.max_attempts > 0 { class.max_attempts.min(limit) } else { limit };
        let is_exhausted = request.attempts.len() >= limit as usize;
        if is_over || is_hedged && !self.settings.hedging || is_exhausted {
            return false;
        }
        let Some(first) = request.attempts.iter().find(|a| a.may_have_run()) else { return true };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed => {
                // One in flight may still wait for its connection, and would then be the later one.
                let has_begun = |a: &Attempt| !a.is_in_flight() || self.now >= a.begins_by;
                let in_time =
                    self.now < self.start_deadline(request) && request.attempts.iter().all(has_begun);
                in_time && self.dedup_group(request.class, backend) == first.dedup_group
            }
        }
    }

    /// By when a further attempt has to begin: duplicates of a key are dropped for a while from the first
    /// attempt that may have run.
    fn start_deadline(&self, request: &Request) -> Timestamp {
        let class = &self.settings.classes[request.class];
        let first = request.attempts.iter().find(|attempt| attempt.may_have_run());
        let Some(first) = first.filter(|_| class.idempotency == Idempotency::Keyed) else {
            return Timestamp::MAX;
        };
        let margin = ((class.idempotency_key_ttl as f64 * DEDUP_MARGIN) as Micros).max(MIN_DEDUP_MARGIN);
        first.sent_at.saturating_add(class.idempotency_key_ttl.saturating_sub(margin))
    }

    /// Whether a rejection, which says that a retry is harmless, would be true.
    fn may_reject(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        let drops_all = class.idempotency == Idempotency::Keyed && class.dedup_scope == DedupScope::All;
        class.idempotency == Idempotency::Idempotent
            || drops_all
            || !request.attempts.iter().any(Attempt::may_have_run)
    }

    pub(crate) fn send(&mut self, id: RequestId, backend_id: BackendId, out: &mut Actions) {
        let (now, next_trial) = (self.now, self.now + self.ejection_time());
        let Some(request) = self.requests.get(&id) else { return };
        let (class, max_start_delay) = (request.class, self.start_deadline(request).saturating_since(now));
        let Some(backend) = self.backends.get(&backend_id) else { return };
        let dedup_group = self.dedup_group(class, backend);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(backend) = self.backends.get_mut(&backend_id) else { return };
        let attempt = request.attempts.len() as u8;
        let begins_by = now + self.settings.connect_timeout + self.settings.tick;
        request.attempts.push(Attempt {
            backend: backend_id,
            dedup_group,
            sent_at: now,
            begins_by,
            outcome: None,
        });
        backend.in_flight += 1;
        backend.recent_sends += 1.0;
        backend.slow_start_tokens -= 1.0;
        self.pool.last_send = now;
        // A trial of one class is a trial for all for which it is ejected.
        let is_trial = backend.ejected_until(class).is_some();
        let ejections = backend.health.iter_mut().filter_map(|health| health.ejected_until.as_mut());
        for ejected_until in ejections.filter(|_| is_trial) {
            *ejected_until = next_trial;
        }
        self.tenants.entry(request.tenant).and_modify(|bucket| bucket.in_flight += 1);
        let class = &self.settings.classes[class];
        out.push(Action::Send { id, backend: backend_id, timeout: class.attempt_timeout, max_start_delay });
        let default_hedge = (class.latency_objective as f64 * HEDGE_PART) as Micros;
        let after = if class.hedge_after > 0 { class.hedge_after } else { default_hedge };
        out.push(Action::Timer { after, token: hedge_token(id, attempt) });
    }

    /// Sends a hedged request beside a slow attempt, where the class and the budget allow one.
    pub(crate) fn hedge(&mut self, id: RequestId, attempt: usize, out: &mut Actions) {
        let Some(request) = self.requests.get(&id) else { return };
        let slow = request.attempts.get(attempt).filter(|attempt| attempt.is_in_flight());
        let Some(&Attempt { sent_at, backend, .. }) = slow else { return };
        let is_latest = attempt + 1 == request.attempts.len();
        let class = request.class;
        let relative = (self.now - sent_at) as f64 / self.class_stats[class].mean_latency;
        self.activate_pool_of(class);
        // Its answer will be late at best: known before it comes.
        self.update_concurrency_limit(1.0, sent_at);
        self.record_relative_latency(backend, relative.min(WORST_LATENCY));
        let is_answering = self.backends.get(&backend).is_some_and(|b| b.last_answer > sent_at);
        let is_overloaded = self.latency_ratio() < MIN_LATENCY_RATIO;
        if is_answering || !is_latest || self.retry_budget < HEDGE_COST || is_overloaded {
            return;
        }
        if let Some(backend) = self.select_again(id, true) {
            self.retry_budget -= HEDGE_COST;
            self.send(id, backend, out);
        }
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
        self.tenants.entry(tenant).and_modify(|bucket| bucket.in_flight = bucket.in_flight.saturating_sub(1));
        if let Some(backend) = self.backends.get_mut(&backend) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
        self.activate_pool_of(class);
        self.record_outcome(EndedAttempt { class, plan, backend, sent_at, elapsed, outcome });
        if outcome != Outcome::Ok && self.requests.get(&id).is_some_and(|request| !request.answered) {
            self.retry(id, outcome, out);
        }
        self.remove_if_over(id);
    }

    /// After a failed attempt: another one where that is safe, else the final answer once nothing is in
    /// flight.
    fn retry(&mut self, id: RequestId, outcome: Outcome, out: &mut Actions) {
        let cost = match outcome {
            // Each retry without a connection puts one more backend into backoff here, which bounds them.
            // What this gatekeeper could not begin cost nobody anything, and its attempts are counted.
            Outcome::ConnectFailed | Outcome::NotStarted => 0.0,
            // What never ran is cheap to retry, but when all reject work retries must not multiply it.
            _ if outcome.never_ran() => BUDGET_PER_REQUEST,
            _ => 1.0,
        };
        let may_retry = outcome != Outcome::NotSent && self.retry_budget >= cost;
        let backend = may_retry.then(|| self.select_again(id, false)).flatten();
        if let Some(backend) = backend {
            self.retry_budget -= cost;
            self.send(id, backend, out);
        } else if !self.requests.get(&id).is_some_and(|r| r.attempts.iter().any(Attempt::is_in_flight)) {
            self.answer(id, out);
        }
    }

    /// The one final answer that this gatekeeper gives itself.
    pub(crate) fn answer(&mut self, id: RequestId, out: &mut Actions) {
        let open = self.requests.get(&id).filter(|request| !request.answered && !request.streaming);
        let Some(class) = open.map(|request| request.class) else { return };
        self.activate_pool_of(class);
        let Some(request) = self.requests.get(&id) else { return };
        let retry_after = self.retry_after(request);
        out.push(if self.may_reject(request) {
            Action::Reject { id, retry_after, reason: RejectReason::AttemptsExhausted }
        } else {
            Action::Fail { id }
        });
        self.close(id);
    }

    pub(crate) fn close(&mut self, id: RequestId) {
        self.requests.entry(id).and_modify(|request| request.answered = true);
        self.remove_if_over(id);
    }

    /// A finished request stays until all its attempts have ended, so that late outcomes find it.
    fn remove_if_over(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.answered && !request.attempts.iter().any(Attempt::is_in_flight) {
            self.settle(id, 0.0);
            self.requests.remove(&id);
        }
    }
}
