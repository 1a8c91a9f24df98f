//! The monotonic clock for the expiry of sessions and lock delays.

use std::sync::OnceLock;
use std::time::Instant;

/// Returns the milliseconds since the first call in this process.
pub(super) fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}
