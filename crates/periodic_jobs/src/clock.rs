//! Time on two clocks.

/// A reading of both clocks of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Milliseconds of Unix time, by which runs are identified. This clock may be set.
    pub unix_ms: u64,
    /// Milliseconds of a monotonic clock.
    pub monotonic_ms: u64,
}
