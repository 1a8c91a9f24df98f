//! The shared quota counter as this gatekeeper sees it.

use crate::action::Notice;
use crate::event::Outcome;
use crate::settings::Settings;
use crate::time::{Micros, Timestamp};
use serde::{Deserialize, Serialize};

/// Microseconds between two calls, of one gatekeeper at the least and of all together before the counter's latency has told what
/// it can take.
const MIN_CALL_INTERVAL: f64 = 1_000.0;
/// The longest interval, and the least pause between trials of a silent counter, in shortest intervals for each gatekeeper.
const MAX_INTERVAL_FACTOR: f64 = 10.0;
/// Bounds of how many calls a gatekeeper may save up: what gets through in one wait, lest it floods.
const CALL_TOKENS: (f64, f64) = (3.0, 8.0);
/// Failed calls in a row from which the counter counts as silent, and for how many timeouts it must not have answered.
const SILENT_AFTER_FAILURES: u32 = 3;
const SILENT_AFTER_TIMEOUTS: Micros = 4;
/// Microseconds between trial calls to a silent counter: its return must not be met by a flood.
const TRIAL_INTERVAL: Micros = 250_000;
/// Part of the timeout of a call within which its answer counts as fast.
const FAST_ANSWER_PART: f64 = 0.4;
/// Factor on the interval after a failure.
const BACKOFF_FACTOR: f64 = 1.5;

/// Health of the counter, and the rate limit of calls to it. The order of the fields is part of the form of a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct CounterHealth {
    /// Calls that failed in a row.
    pub(crate) failures: u32,
    pub(crate) last_answer: Timestamp,
    /// Since when it counts as silent.
    pub(crate) silent_since: Option<Timestamp>,
    pub(crate) recovered_at: Timestamp,
    /// When the next trial call is allowed while it is silent.
    pub(crate) next_trial: Timestamp,
    /// Microseconds between two calls, and when that was last changed.
    pub(crate) call_interval: f64,
    pub(crate) interval_changed_at: Timestamp,
    /// Calls that may be made at once, and when they were last counted.
    pub(crate) call_tokens: f64,
    pub(crate) tokens_counted_at: Timestamp,
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

    /// Adds the calls that may be made since the last time.
    pub(crate) fn earn_call_tokens(&mut self, settings: &Settings, now: Timestamp) {
        let earned = (now - self.tokens_counted_at) as f64 / self.call_interval;
        self.call_tokens = (self.call_tokens + earned).min(max_call_tokens(settings));
        self.tokens_counted_at = now;
    }

    /// The least time between two trial calls to a silent counter; as much is added at random.
    pub(crate) fn trial_pause(settings: &Settings) -> Micros {
        let shared = (MIN_CALL_INTERVAL * MAX_INTERVAL_FACTOR) as Micros * u64::from(settings.gatekeepers);
        TRIAL_INTERVAL.max(shared)
    }

    /// Learns from the end of a call. Returns what operators are to be told.
    pub(crate) fn record(
        &mut self,
        settings: &Settings,
        elapsed: Micros,
        outcome: Outcome,
        now: Timestamp,
    ) -> Option<Notice> {
        match outcome {
            Outcome::Ok => self.record_answer(settings, elapsed, now),
            // It answered, if with nothing that can be read: neither slow nor silent.
            Outcome::Error => {
                (self.failures, self.last_answer) = (0, now);
                None
            }
            _ => self.record_failure(settings, now),
        }
    }

    fn record_answer(&mut self, settings: &Settings, elapsed: Micros, now: Timestamp) -> Option<Notice> {
        (self.failures, self.last_answer) = (0, now);
        let recovered = self.silent_since.take().is_some();
        if recovered {
            self.recovered_at = now;
        }
        let factor = 1.0 + now.seconds_since(self.interval_changed_at).min(1.0);
        let is_fast = (elapsed as f64) < FAST_ANSWER_PART * settings.counter_timeout as f64;
        let interval = if is_fast { self.call_interval / factor } else { self.call_interval * factor };
        self.call_interval = interval.clamp(MIN_CALL_INTERVAL, max_interval(settings));
        self.interval_changed_at = now;
        recovered.then_some(Notice::CounterRecovered)
    }

    fn record_failure(&mut self, settings: &Settings, now: Timestamp) -> Option<Notice> {
        self.failures += 1;
        if now >= self.interval_changed_at + settings.counter_timeout {
            self.call_interval = (self.call_interval * BACKOFF_FACTOR).min(max_interval(settings));
            self.interval_changed_at = now;
        }
        let unanswered_for = now - self.last_answer.min(now);
        let is_unanswered = unanswered_for > SILENT_AFTER_TIMEOUTS * settings.counter_timeout;
        if self.failures < SILENT_AFTER_FAILURES || !is_unanswered || self.silent_since.is_some() {
            return None;
        }
        self.silent_since = Some(now);
        Some(Notice::CounterSilent)
    }
}

fn max_interval(settings: &Settings) -> f64 {
    MIN_CALL_INTERVAL * MAX_INTERVAL_FACTOR * f64::from(settings.gatekeepers)
}

/// Calls that one gatekeeper may save up.
fn max_call_tokens(settings: &Settings) -> f64 {
    let calls = settings.counter_timeout as f64 / MIN_CALL_INTERVAL / f64::from(settings.gatekeepers);
    calls.clamp(CALL_TOKENS.0, CALL_TOKENS.1)
}
