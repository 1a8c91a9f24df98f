//! Slow start: how much a backend that has just started is sent by this gatekeeper.

use crate::settings::Settings;
use crate::stored::StoredBackend;
use crate::time::{SECOND, Timestamp};

/// Standard deviations that are left free in what a backend in slow start is sent.
const RESERVED_DEVIATIONS: f64 = 2.0;
/// Part of its budget that it gets at least.
const MIN_BUDGET_PART: f64 = 0.25;
/// Attempts that one gatekeeper may save up for a backend in slow start.
const MAX_TOKENS: f64 = 2.0;

/// Slow start of one backend: a token for each attempt that it may be sent while it is warming up.
#[derive(Clone, Debug)]
pub(crate) struct SlowStart {
    tokens: f64,
    /// When it started by this gatekeeper's clock, where that was notified of the start; else its entry
    /// tells.
    notified_start: Option<Timestamp>,
    /// When an operator admitted it again: it may have restarted while it was ejected.
    readmitted_at: Timestamp,
}

impl SlowStart {
    /// `fraction` of a token, below 1: were it a whole one, every gatekeeper would use it at once.
    pub(crate) fn new(fraction: f64, notified_start: Option<Timestamp>) -> Self {
        Self { tokens: fraction, notified_start, readmitted_at: Timestamp::ZERO }
    }

    /// The same backend after a restart.
    pub(crate) fn restarted(&self, fresh: Self) -> Self {
        Self { readmitted_at: self.readmitted_at, ..fresh }
    }

    /// The same backend when an operator admits it again.
    pub(crate) fn readmitted(&self, fraction: f64, now: Timestamp) -> Self {
        Self { tokens: fraction, notified_start: self.notified_start, readmitted_at: now }
    }

    pub(crate) fn notified_start(&self) -> Option<Timestamp> {
        self.notified_start
    }

    pub(crate) fn readmitted_at(&self) -> Timestamp {
        self.readmitted_at
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Every attempt takes a token, also of a warm backend: it may start again.
    pub(crate) fn spend_token(&mut self) {
        self.tokens -= 1.0;
    }

    pub(crate) fn earn(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(MAX_TOKENS);
    }

    pub(crate) fn store(&self, stored: &mut StoredBackend) {
        stored.slow_start_tokens = self.tokens;
        stored.readmitted_at = self.readmitted_at;
    }

    pub(crate) fn restore(&mut self, stored: &StoredBackend) {
        self.tokens = stored.slow_start_tokens;
        self.readmitted_at = stored.readmitted_at;
    }
}

/// The share of its capacity that a backend certainly has: the slowest warm-up that the settings allow.
/// `started` is [`Timestamp::ZERO`] for long ago.
pub(crate) fn warmth(settings: &Settings, started: Timestamp, now: Timestamp) -> f64 {
    let (duration, share) = (settings.slow_start_duration, settings.slow_start_share);
    if started == Timestamp::ZERO || duration == 0 {
        return 1.0;
    }
    let age = now.saturating_since(started) as f64 / duration as f64;
    (share + (1.0 - share) * age).min(1.0)
}

/// The gatekeepers that send to a backend.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SenderShare {
    /// Part of the ready backends that each gatekeeper prefers.
    pub(crate) subset_part: f64,
    /// Answers a second that one warm backend gives this gatekeeper.
    pub(crate) warm_rate: f64,
}

/// Attempts a second that this gatekeeper may add to a backend in slow start: its part of what overloads the
/// backend, less a margin for chance, which grows with the number of gatekeepers that send without
/// coordination.
pub(crate) fn token_rate(settings: &Settings, warmth: f64, share: SenderShare) -> f64 {
    let gatekeepers = f64::from(settings.gatekeepers);
    let seconds = settings.overload_duration as f64 / SECOND;
    let factor = settings.overload_factor * warmth;
    let budget = factor * share.warm_rate * gatekeepers * seconds;
    let senders = gatekeepers * share.subset_part.min(1.0);
    let chance = RESERVED_DEVIATIONS * budget.min(senders).sqrt();
    (budget - chance).max(budget * MIN_BUDGET_PART) / senders / seconds
}

#[cfg(test)]
mod tests;
