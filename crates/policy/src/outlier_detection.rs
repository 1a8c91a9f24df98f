//! Outlier detection: backends that do not answer, fail or refuse connections are ejected, and tried again at
//! times.

use crate::estimates::WORST_LATENCY;
use crate::event::Outcome;
use crate::state::{ClassHealth, EndedAttempt};
use crate::state_machine::Policy;
use crate::time::{Micros, Timestamp};

/// Part of its objective for which an attempt may be unanswered, with no answer of its backend since, before
/// that is ejected.
const SILENCE_PART: f64 = 0.6;
/// us; pause between trials of an ejected backend by all gatekeepers together, and the longest of one: faults
/// last tens of seconds.
const EJECTION_TIME: Micros = 200_000;
const MAX_EJECTION_TIME: Micros = 20_000_000;
/// us; pause after a rejection, and the first connect backoff, times the number of gatekeepers.
const REJECTION_PAUSE: Micros = 10_000;

impl Policy {
    /// A backend that does not answer is found by the age of its attempts in flight with no answer since: of
    /// any class, or of this one alone, since a backend may fail one class and serve the others.
    pub(crate) fn eject_silent_backends(&mut self) {
        let (now, trial, mut found) = (self.now, self.now + self.ejection_time(), false);
        for request in self.requests.values() {
            let objective = self.settings.classes[request.class].latency_objective;
            let patience = (objective as f64 * SILENCE_PART) as Micros;
            let is_late = |sent_at: Timestamp| now - sent_at > patience;
            for attempt in request.attempts.iter().filter(|a| a.is_in_flight() && is_late(a.sent_at)) {
                let Some(backend) = self.backends.get_mut(&attempt.backend) else { continue };
                let answers_none = backend.last_answer < attempt.sent_at;
                for (class, health) in backend.health.iter_mut().enumerate() {
                    let is_affected = answers_none || class == request.class;
                    if health.last_answer < attempt.sent_at && is_affected && health.ejected_until.is_none() {
                        health.ejected_until = Some(trial);
                        found = true;
                    }
                }
            }
        }
        // At once: until it is known that all are silent, nothing would be admitted.
        for service in self.services().filter(|_| found) {
            self.activate_pool(service);
            self.update_panic_mode();
        }
    }

    /// When most are ejected at once the cause is common, and ejections are ignored.
    pub(crate) fn update_panic_mode(&mut self) {
        let ejected = self.ready_backends().filter(|backend| backend.is_ejected()).count();
        self.pool.in_panic_mode = ejected * 2 > self.pool.ready.len();
    }

    /// us; how long this gatekeeper leaves an ejected backend alone, so that all together try it now and
    /// then.
    pub(crate) fn ejection_time(&self) -> Micros {
        (EJECTION_TIME * u64::from(self.settings.gatekeepers)).min(MAX_EJECTION_TIME)
    }

    /// Learns from the end of an attempt.
    pub(crate) fn record_outcome(&mut self, attempt: EndedAttempt) {
        if !self.update_backend_health(attempt) {
            return;
        }
        let outcome = attempt.outcome;
        if outcome == Outcome::Reset {
            // Broken off: how early says nothing of its speed. Taken for fast it would attract all work.
            self.record_relative_latency(attempt.backend, WORST_LATENCY);
            return;
        }
        let is_lost = outcome == Outcome::Timeout && !self.pool.in_panic_mode;
        let has_run = !outcome.never_ran() && outcome != Outcome::Cancelled;
        if has_run {
            self.record_attempt_time(attempt.elapsed);
        }
        if has_run && !is_lost {
            let objective = self.settings.classes[attempt.class].latency_objective as f64;
            self.update_concurrency_limit(attempt.elapsed as f64 / objective, attempt.sent_at);
            self.record_latency(attempt);
        }
    }

    /// Returns whether the backend is known.
    fn update_backend_health(&mut self, attempt: EndedAttempt) -> bool {
        let EndedAttempt { class, plan, .. } = attempt;
        let (now, ejected_until) = (self.now, self.now + self.ejection_time());
        let pause = REJECTION_PAUSE * u64::from(self.settings.gatekeepers);
        let Some(backend) = self.backends.get_mut(&attempt.backend) else { return false };
        match attempt.outcome {
            // One plan or class may be rejected where others are served: only that pair pauses.
            Outcome::Rejected => drop(backend.rejects_until.insert((class, plan), now + pause)),
            // Dead, or out of connections: nothing of any class gets in here. Who holds a connection never
            // sees this, so a crowded one is left by those alone who cannot use it. The attempt took no
            // capacity.
            Outcome::ConnectFailed => {
                let backoff = (2 * backend.connect_backoff).clamp(pause, MAX_EJECTION_TIME);
                backend.connect_backoff = backoff;
                backend.connect_backoff_until = now + backoff;
                self.pool.last_send = Timestamp::ZERO;
                self.record_relative_latency(attempt.backend, WORST_LATENCY);
            }
            Outcome::NotStarted => self.pool.last_send = Timestamp::ZERO,
            Outcome::Ok => {
                backend.connect_backoff = 0;
                backend.last_answer = now;
                backend.health[class] = ClassHealth { last_answer: now, ejected_until: None };
            }
            Outcome::Error => {
                backend.last_answer = now;
                backend.health[class].ejected_until.get_or_insert(ejected_until);
            }
            _ => {}
        }
        true
    }
}
