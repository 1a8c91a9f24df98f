//! Spans of a history.

use super::now_us;

/// A span of a history's time, us.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Span {
    /// Its begin.
    pub from_us: u64,
    /// Its end.
    pub to_us: u64,
}

impl Span {
    /// From a time until now.
    pub fn since(from_us: u64) -> Self {
        Self { from_us, to_us: now_us() }
    }

    /// How long it is, s.
    pub fn seconds(self) -> f64 {
        (self.to_us - self.from_us) as f64 / 1e6
    }
}
