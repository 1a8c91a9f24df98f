//! Health of the shared quota counter, and the rate limit of calls to it.

use crate::action::Notice;
use crate::event::Outcome;
use crate::settings::Settings;
use crate::time::{Micros, Timestamp};
use serde::{Deserialize, Serialize};

/// Shortest interval between two calls of one gatekeeper to the counter, in microseconds. The same value is
/// the initial interval between the calls of all gatekeepers together, until the counter's latency shows what
/// load the counter can take.
const MIN_CALL_INTERVAL: f64 = 1_000.0;
/// This factor times [`MIN_CALL_INTERVAL`] times the number of gatekeepers is the longest interval between
/// two calls of one gatekeeper. It is also the shortest pause between trial calls to a silent counter.
const MAX_CALL_INTERVAL_FACTOR: f64 = 10.0;
/// Lower and upper bound of the call tokens that a gatekeeper may accumulate: enough for the calls of one
/// timeout, but too few to flood the counter.
const CALL_TOKEN_BOUNDS: (f64, f64) = (3.0, 8.0);
/// Consecutive failed calls after which the counter counts as silent, provided that it has not answered for
/// [`SILENT_AFTER_TIMEOUTS`].
const SILENT_AFTER_FAILURES: u32 = 3;
/// Time without an answer after which the counter may count as silent, in call timeouts.
const SILENT_AFTER_TIMEOUTS: Micros = 4;
/// Shortest pause between trial calls to a silent counter, in microseconds: when the counter recovers, it
/// must not be flooded with calls.
const MIN_TRIAL_PAUSE: Micros = 250_000;
/// Fraction of the call timeout within which an answer counts as fast.
const FAST_ANSWER_FRACTION: f64 = 0.4;
/// Factor by which a failed call to the counter lengthens the interval between calls.
const BACKOFF_FACTOR: f64 = 1.5;

/// Whether a call to the counter can be postponed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// The call cannot be postponed: a request waits for the total, or a silent counter is tried.
    Immediate,
    /// The call only reports spend and can be made later.
    Deferrable,
}

/// Health of the counter, and a token bucket of calls. The encoding of snapshots depends on the order of the
/// fields.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct CounterHealth {
    /// Consecutive failed calls.
    consecutive_failures: u32,
    last_answer: Timestamp,
    /// Time at which the counter became silent; `None` while the counter counts as available.
    silent_since: Option<Timestamp>,
    recovered_at: Timestamp,
    /// Earliest time of the next trial call while the counter is silent.
    next_trial: Timestamp,
    /// Microseconds in which one call token is earned.
    call_interval: f64,
    interval_changed_at: Timestamp,
    /// Calls that may be made at once.
    call_tokens: f64,
    /// Time at which earned call tokens were last added.
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

    /// Whether the counter has recovered from silence after this moment.
    pub(crate) fn has_recovered_since(&self, moment: Timestamp) -> bool {
        moment < self.recovered_at
    }

    pub(crate) fn last_call_answered(&self) -> bool {
        self.consecutive_failures == 0
    }

    /// Whether the counter is silent and a trial call is due.
    pub(crate) fn is_trial_due(&self, now: Timestamp) -> bool {
        self.is_silent() && now >= self.next_trial
    }

    /// Takes a token for a call and returns whether the call may be made. A call that can be postponed must
    /// leave one token for calls that cannot, and a silent counter is called only when a trial is due.
    pub(crate) fn take_call_token(
        &mut self,
        urgency: Urgency,
        settings: &Settings,
        rng: &mut fastrand::Rng,
        now: Timestamp,
    ) -> bool {
        self.earn_call_tokens(settings, now);
        let required = match urgency {
            Urgency::Immediate => 1.0,
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
    pub(crate) fn record_call_end(
        &mut self,
        settings: &Settings,
        elapsed: Micros,
        outcome: Outcome,
        now: Timestamp,
    ) -> Option<Notice> {
        match outcome {
            Outcome::Ok => self.record_answer(settings, elapsed, now),
            // The counter answered, though unreadably, so it counts as neither slow nor silent.
            Outcome::Error => {
                (self.consecutive_failures, self.last_answer) = (0, now);
                None
            }
            _ => self.record_failure(settings, now),
        }
    }

    fn record_answer(&mut self, settings: &Settings, elapsed: Micros, now: Timestamp) -> Option<Notice> {
        (self.consecutive_failures, self.last_answer) = (0, now);
        let has_recovered = self.silent_since.take().is_some();
        if has_recovered {
            self.recovered_at = now;
        }
        let factor = 1.0 + now.seconds_since(self.interval_changed_at).min(1.0);
        let is_fast = (elapsed as f64) < FAST_ANSWER_FRACTION * settings.counter_timeout as f64;
        let interval = if is_fast { self.call_interval / factor } else { self.call_interval * factor };
        self.call_interval = interval.clamp(MIN_CALL_INTERVAL, max_interval(settings));
        self.interval_changed_at = now;
        has_recovered.then_some(Notice::CounterRecovered)
    }

    fn record_failure(&mut self, settings: &Settings, now: Timestamp) -> Option<Notice> {
        self.consecutive_failures += 1;
        if now >= self.interval_changed_at + settings.counter_timeout {
            self.call_interval = (self.call_interval * BACKOFF_FACTOR).min(max_interval(settings));
            self.interval_changed_at = now;
        }
        let unanswered_for = now.saturating_since(self.last_answer);
        let is_unanswered = unanswered_for > SILENT_AFTER_TIMEOUTS * settings.counter_timeout;
        if self.consecutive_failures < SILENT_AFTER_FAILURES || !is_unanswered || self.is_silent() {
            return None;
        }
        self.silent_since = Some(now);
        Some(Notice::CounterSilent)
    }

    /// Prepares a state from a snapshot for use: tokens are earned from `now` on, and the times of the last
    /// answer and of the last change of the interval are at most `now`.
    pub(crate) fn clamped_to(self, now: Timestamp) -> Self {
        Self {
            tokens_counted_at: now,
            interval_changed_at: self.interval_changed_at.min(now),
            last_answer: self.last_answer.min(now),
            ..self
        }
    }

    /// Applies `change` to the times of the last answer, of silence and recovery, of the next trial call, and
    /// of the last updates of the call interval and the call tokens.
    pub(crate) fn change_times(&mut self, change: impl Fn(&mut Timestamp)) {
        change(&mut self.last_answer);
        change(&mut self.recovered_at);
        change(&mut self.next_trial);
        change(&mut self.interval_changed_at);
        change(&mut self.tokens_counted_at);
        self.silent_since.iter_mut().for_each(change);
    }
}

/// Shortest pause between two trial calls to a silent counter, in microseconds. The caller adds a random
/// pause of at most the same length.
fn trial_pause(settings: &Settings) -> Micros {
    let shared = (MIN_CALL_INTERVAL * MAX_CALL_INTERVAL_FACTOR) as Micros * u64::from(settings.gatekeepers);
    MIN_TRIAL_PAUSE.max(shared)
}

fn max_interval(settings: &Settings) -> f64 {
    MIN_CALL_INTERVAL * MAX_CALL_INTERVAL_FACTOR * f64::from(settings.gatekeepers)
}

/// Most call tokens that one gatekeeper may accumulate: its share of the calls that fit into one timeout.
fn max_call_tokens(settings: &Settings) -> f64 {
    let calls = settings.counter_timeout as f64 / MIN_CALL_INTERVAL / f64::from(settings.gatekeepers);
    calls.clamp(CALL_TOKEN_BOUNDS.0, CALL_TOKEN_BOUNDS.1)
}

#[cfg(test)]
mod tests;
