//! No new request reaches a backend that is not eligible.

use std::time::Duration;

/// A span in which a backend gets no new request from one gatekeeper, but for a grace after its begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IneligibleSpan {
    /// When the gatekeeper knew or had to know that the backend is not eligible.
    pub from: Duration,
    /// When the backend became eligible again, or the gatekeeper's process ended.
    pub to: Duration,
}

impl IneligibleSpan {
    /// How long after the begin of the span an attempt began, if that is later than the grace.
    pub fn lateness(&self, attempt: Duration, grace: Duration) -> Option<Duration> {
        let is_late = attempt > self.from + grace && attempt < self.to;
        is_late.then(|| attempt - self.from)
    }
}
