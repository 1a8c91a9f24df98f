//! Slow start: limits the rate of attempts that this gatekeeper sends to a backend that has just started.

use crate::settings::Settings;
use crate::stored::StoredBackend;
use crate::time::{SECOND, Timestamp};

/// Standard deviations by which the number of attempts at a backend in slow start is kept below the number
/// that overloads the backend.
const SAFETY_MARGIN_DEVIATIONS: f64 = 2.0;
/// Minimum token rate after subtracting the safety margin, as a fraction of the token rate without the
/// margin.
const MIN_TOKEN_RATE_FRACTION: f64 = 0.25;
/// Maximum tokens that one gatekeeper may accumulate for a backend in slow start.
const MAX_TOKENS: f64 = 2.0;

/// Token bucket of one backend, which limits attempts while the backend is warming up. Each attempt takes a
/// token.
#[derive(Clone, Debug)]
pub(crate) struct SlowStart {
    tokens: f64,
    /// Start time of the backend on this gatekeeper's clock; `None` if the gatekeeper was not notified of the
    /// start, so that the start in the endpoint list applies.
    notified_start: Option<Timestamp>,
    /// Time at which an operator readmitted the backend, which may have restarted while it was ejected;
    /// [`Timestamp::ZERO`] if no operator has readmitted the backend.
    readmitted_at: Timestamp,
}

impl SlowStart {
    /// Creates a bucket that holds `fraction` of a token, below 1. With a whole token, every gatekeeper would
    /// send an attempt at once.
    pub(crate) fn new(fraction: f64, notified_start: Option<Timestamp>) -> Self {
        Self { tokens: fraction, notified_start, readmitted_at: Timestamp::ZERO }
    }

    /// The slow-start state of this backend after a restart: `fresh`, the state of a new backend, except that
    /// the time of the last readmission is kept.
    pub(crate) fn restarted(&self, fresh: Self) -> Self {
        Self { readmitted_at: self.readmitted_at, ..fresh }
    }

    /// The slow-start state of this backend after an operator readmits it, with `fraction` of a token.
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

    /// Takes a token for an attempt. A warm backend spends tokens too, because it may restart unnoticed.
    pub(crate) fn spend_token(&mut self) {
        self.tokens -= 1.0;
    }

    pub(crate) fn earn_tokens(&mut self, tokens: f64) {
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

/// Lower bound of the fraction of its full capacity that a backend has, assuming the slowest warm-up that the
/// settings allow. `started` is [`Timestamp::ZERO`] if the backend started long ago.
pub(crate) fn warm_fraction(settings: &Settings, started: Timestamp, now: Timestamp) -> f64 {
    let (duration, share) = (settings.slow_start_duration, settings.slow_start_share);
    if started == Timestamp::ZERO || duration == 0 {
        return 1.0;
    }
    let age = now.saturating_since(started) as f64 / duration as f64;
    (share + (1.0 - share) * age).min(1.0)
}

/// Fraction of backends that each gatekeeper prefers, and rate at which a warm backend answers one
/// gatekeeper.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SenderShare {
    /// Fraction of the ready backends that each gatekeeper prefers; it may exceed 1.
    pub(crate) subset_fraction: f64,
    /// Answers a second that this gatekeeper gets from one warm backend.
    pub(crate) warm_rate: f64,
}

/// Tokens a second that this gatekeeper adds to a backend in slow start: the gatekeeper's share of the rate
/// that overloads the backend, minus a margin for random variation. The margin grows with the number of
/// gatekeepers, which send without coordination.
pub(crate) fn token_rate(settings: &Settings, warm_fraction: f64, share: SenderShare) -> f64 {
    let gatekeepers = f64::from(settings.gatekeepers);
    let seconds = settings.overload_duration as f64 / SECOND;
    let factor = settings.overload_factor * warm_fraction;
    let budget = factor * share.warm_rate * gatekeepers * seconds;
    let senders = gatekeepers * share.subset_fraction.min(1.0);
    let margin = SAFETY_MARGIN_DEVIATIONS * budget.min(senders).sqrt();
    (budget - margin).max(budget * MIN_TOKEN_RATE_FRACTION) / senders / seconds
}

#[cfg(test)]
mod tests;
