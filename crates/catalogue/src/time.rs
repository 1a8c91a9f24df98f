//! The unit of time of this package.

/// Milliseconds: of a monotonic clock, or since the Unix epoch where a comment says so.
pub type Millis = u64;
