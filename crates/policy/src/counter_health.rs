//! Health of the shared quota counter, and the rate limit of calls to it.

use crate::action::Notice;
use crate::event::Outcome;
use crate::settings::Settings;
use crate::time::{Micros, Timestamp};
use serde::{Deserialize, Serialize};

/// Minimum microseconds between two calls of one gatekeeper, and of all gatekeepers together before the
/// counter's latency has told what it can take.
const MIN_CALL_INTERVAL: f64 = 1_000.0;
/// The longest interval, and the least pause between trials of a silent counter, in shortest intervals for
/// each gatekeeper.
const MAX_INTERVAL_FACTOR: f64 = 10.0;
/// Bounds of the tokens that a gatekeeper may save up: enough calls for one wait, without a flood.
const CALL_TOKENS: (f64, f64) = (3.0, 8.0);
/// Failed calls in a row from which the counter counts as silent, and for how many timeouts it must not have
/// answered.
const SILENT_AFTER_FAILURES: u32 = 3;
const SILENT_AFTER_TIMEOUTS: Micros = 4;
/// Microseconds between trial calls to a silent counter: its return must not be met by a flood.
const TRIAL_INTERVAL: Micros = 250_000;
/// Part of the timeout of a call within which its answer counts as fast.
const FAST_ANSWER_PART: f64 = 0.4;
/// Factor on the interval after a failure.
const BACKOFF_FACTOR: f64 = 1.5;

/// How urgent a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// A request waits for the total.
    Awaited,
    /// Spend is reported.
    Deferrable,
}

/// Health of the counter, and a token bucket of calls. The order of the fields is part of the form of a
/// snapshot.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct CounterHealth {
    /// Calls that failed in a row.
    failures: u32,
    last_answer: Timestamp,
    /// Since when it counts as silent.
    silent_since: Option<Timestamp>,
    recovered_at: Timestamp,
    /// When the next trial call is allowed while it is silent.
    next_trial: Timestamp,
    /// Microseconds between two calls, and when that was last changed.
    call_interval: f64,
    interval_changed_at: Timestamp,
    /// Calls that may be made at once, and when they were last counted.
    call_tokens: f64,
    tokens_counted_at: Timestamp,
}

impl CounterHealth {
    pub(crate) fn new(settings: &Settings, seed: u64, now: Timestamp) -> Self {
        Self {
            call_interval: MIN_CALL_INTERVAL * f64::from(settings.gatekeepers),
            call_tokens: max_call_tokens(settings) * fastrand::Rng::with_seed(seed).f64(),
            last_answer: now,
            tokens_counted_at: now,
            ..Self::default()
        }
    }

    pub(crate) fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// Whether it was silent since this moment.
    pub(crate) fn has_recovered_since(&self, moment: Timestamp) -> bool {
        moment < self.recovered_at
    }

    pub(crate) fn last_call_answered(&self) -> bool {
        self.failures == 0
    }

    /// Whether it is silent and a trial call is due.
    pub(crate) fn is_trial_due(&self, now: Timestamp) -> bool {
        self.is_silent() && now >= self.next_trial
    }

    /// Takes a token for a call, if there is one. Deferrable calls leave one token to awaited ones.
    pub(crate) fn take_call_token(
        &mut self,
        urgency: Urgency,
        settings: &Settings,
        rng: &mut fastrand::Rng,
        now: Timestamp,
    ) -> bool {
        self.earn_call_tokens(settings, now);
        let required = match urgency {
            Urgency::Awaited => 1.0,
            Urgency::Deferrable => 2.0,
        };
        let waits_for_trial = self.is_silent() && now < self.next_trial;
        if self.call_tokens < required || waits_for_trial {
            return false;
        }
        let pause = trial_pause(settings);
        self.next_trial = now + pause + rng.u64(0..pause);
        self.call_tokens -= 1.0;
        true
    }

    fn earn_call_tokens(&mut self, settings: &Settings, now: Timestamp) {
        let earned = (now - self.tokens_counted_at) as f64 / self.call_interval;
        self.call_tokens = (self.call_tokens + earned).min(max_call_tokens(settings));
        self.tokens_counted_at = now;
    }

    /// Records the end of a call. Returns the notice for operators if the counter became silent or recovered.
    pub(crate) fn record(
        &mut self,
        settings: &Settings,
        elapsed: Micros,
        outcome: Outcome,
        now: Timestamp,
    ) -> Option<Notice> {
        match outcome {
            Outcome::Ok => self.record_answer(settings, elapsed, now),
            // It answered, though the answer could not be read: it is neither slow nor silent.
            Outcome::Error => {
                (self.failures, self.last_answer) = (0, now);
                None
            }
            _ => self.record_failure(settings, now),
        }
    }

    fn record_answer(&mut self, settings: &Settings, elapsed: Micros, now: Timestamp) -> Option<Notice> {
        (self.failures, self.last_answer) = (0, now);
        let has_recovered = self.silent_since.take().is_some();
        if has_recovered {
            self.recovered_at = now;
        }
        let factor = 1.0 + now.seconds_since(self.interval_changed_at).min(1.0);
        let is_fast = (elapsed as f64) < FAST_ANSWER_PART * settings.counter_timeout as f64;
        let interval = if is_fast { self.call_interval / factor } else { self.call_interval * factor };
        self.call_interval = interval.clamp(MIN_CALL_INTERVAL, max_interval(settings));
        self.interval_changed_at = now;
        has_recovered.then_some(Notice::CounterRecovered)
    }

    fn record_failure(&mut self, settings: &Settings, now: Timestamp) -> Option<Notice> {
        self.failures += 1;
        if now >= self.interval_changed_at + settings.counter_timeout {
            self.call_interval = (self.call_interval * BACKOFF_FACTOR).min(max_interval(settings));
            self.interval_changed_at = now;
        }
        let unanswered_for = now.saturating_since(self.last_answer);
        let is_unanswered = unanswered_for > SILENT_AFTER_TIMEOUTS * settings.counter_timeout;
        if self.failures < SILENT_AFTER_FAILURES || !is_unanswered || self.is_silent() {
            return None;
        }
        self.silent_since = Some(now);
        Some(Notice::CounterSilent)
    }

    /// Continues from a snapshot: no moment lies in the future.
    pub(crate) fn restored(self, now: Timestamp) -> Self {
        Self {
            tokens_counted_at: now,
            interval_changed_at: self.interval_changed_at.min(now),
            last_answer: self.last_answer.min(now),
            ..self
        }
    }

    /// Changes all moments that are kept.
    pub(crate) fn change_times(&mut self, change: impl Fn(&mut Timestamp)) {
        change(&mut self.last_answer);
        change(&mut self.recovered_at);
        change(&mut self.next_trial);
        change(&mut self.interval_changed_at);
        change(&mut self.tokens_counted_at);
        self.silent_since.iter_mut().for_each(change);
    }
}

/// The least time between two trial calls to a silent counter; as much is added at random.
fn trial_pause(settings: &Settings) -> Micros {
    let shared = (MIN_CALL_INTERVAL * MAX_INTERVAL_FACTOR) as Micros * u64::from(settings.gatekeepers);
    TRIAL_INTERVAL.max(shared)
}

fn max_interval(settings: &Settings) -> f64 {
    MIN_CALL_INTERVAL * MAX_INTERVAL_FACTOR * f64::from(settings.gatekeepers)
}

/// Calls that one gatekeeper may save up.
fn max_call_tokens(settings: &Settings) -> f64 {
    let calls = settings.counter_timeout as f64 / MIN_CALL_INTERVAL / f64::from(settings.gatekeepers);
    calls.clamp(CALL_TOKENS.0, CALL_TOKENS.1)
}

#[cfg(test)]
mod tests;
