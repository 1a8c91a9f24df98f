//! The clocks of this instance.

use periodic_jobs::ClockReading;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use timestamps::{MonotonicTime, UnixTime, whole_millis};

/// The Unix clock, with an offset for tests, and a monotonic clock that counts from the creation of this value.
#[derive(Clone, Debug)]
pub(crate) struct Clocks {
    start: Instant,
    offset_ms: Arc<AtomicI64>,
}

impl Clocks {
    pub(crate) fn new(offset_ms: Arc<AtomicI64>) -> Self {
        Self { start: Instant::now(), offset_ms }
    }

    /// Reads both clocks. The offset applies to the Unix clock only.
    pub(crate) fn now(&self) -> ClockReading {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let offset_ms = self.offset_ms.load(Ordering::Relaxed);
        let unix_ms = whole_millis(since_epoch).saturating_add_signed(offset_ms);
        ClockReading {
            unix: UnixTime::from_millis(unix_ms),
            monotonic: MonotonicTime::ZERO + self.start.elapsed(),
        }
    }
}
