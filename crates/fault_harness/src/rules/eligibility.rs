//! Checks that no new request reaches a backend that is not eligible.

use std::time::Duration;

/// A span of time in which a backend must get no new request from one gatekeeper, except within a grace period after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IneligibleSpan {
    /// When the gatekeeper knew, or should have known, that the backend is not eligible.
    pub from: Duration,
    /// When the backend became eligible again, or the gatekeeper's process ended.
    pub to: Duration,
}

impl IneligibleSpan {
    /// Time from the start of the span to an attempt; none if the attempt arrived before the end of the grace period or after
    /// the span.
    pub fn lateness(&self, attempt: Duration, grace: Duration) -> Option<Duration> {
        let is_late = attempt > self.from + grace && attempt < self.to;
        is_late.then(|| attempt - self.from)
    }
}
