//! The clock of the sessions.

use std::sync::OnceLock;
use std::time::Instant;

/// Milliseconds since the first call in this process.
pub(super) fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}
