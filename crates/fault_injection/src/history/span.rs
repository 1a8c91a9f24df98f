//! Spans of time in a history.

use super::now_us;

/// A span of a history's time, in microseconds of the clock of [`now_us`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Span {
    /// Time at which the span begins.
    pub from_us: u64,
    /// Time at which the span ends; `u64::MAX` if the span is open.
    pub to_us: u64,
}

impl Span {
    /// The span from this time until now.
    pub fn since(from_us: u64) -> Self {
        Self { from_us, to_us: now_us() }
    }

    /// The length of the span in seconds.
    pub fn seconds(self) -> f64 {
        (self.to_us - self.from_us) as f64 / 1e6
    }
}
