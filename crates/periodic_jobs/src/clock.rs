//! Readings of the two clocks of an instance.

use std::time::Duration;

/// Converts a span of time to milliseconds. Moments (`_ms`) are counted in them.
pub(crate) fn as_millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// A moment on both clocks of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Unix time in milliseconds. Runs are identified by it. This clock may be stepped.
    pub unix_ms: u64,
    /// Milliseconds on a monotonic clock.
    pub monotonic_ms: u64,
}
