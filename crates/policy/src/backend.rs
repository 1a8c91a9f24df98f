//! State of one backend: its entry in the endpoint list, and this gatekeeper's estimates of it.

use crate::backend_latency::BackendLatency;
use crate::event::BackendEntry;
use crate::outlier_detection::BackendHealth;
use crate::slow_start::SlowStart;
use crate::stored::StoredBackend;
use crate::time::Timestamp;

/// Bounds of a backend's size. A wrong size must not attract all requests to a backend, or keep all requests
/// from it.
const SIZE_BOUNDS: (f64, f64) = (0.05, 20.0);
/// Time constant in seconds of the decay of recent sends.
const RECENT_SENDS_DECAY_SECONDS: f64 = 1.0;

/// State of one backend: its entry in the endpoint list, its health, and estimates of its load and latency.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    /// The latest entry in the endpoint list.
    pub(crate) entry: BackendEntry,
    pub(crate) load: BackendLoad,
    pub(crate) latency: BackendLatency,
    pub(crate) health: BackendHealth,
    pub(crate) slow_start: SlowStart,
}

impl Backend {
    pub(crate) fn new(
        entry: BackendEntry,
        slow_start: SlowStart,
        now: Timestamp,
        class_count: usize,
    ) -> Self {
        Self {
            entry,
            load: BackendLoad::default(),
            latency: BackendLatency::new(now),
            health: BackendHealth::new(now, class_count),
            slow_start,
        }
    }

    /// The state of this backend after a restart: estimates are reset, and attempts in flight still count.
    pub(crate) fn restarted(&self, entry: BackendEntry, slow_start: SlowStart, now: Timestamp) -> Self {
        let fresh = Self::new(entry, slow_start, now, self.health.class_count());
        Self { load: self.load.without_recent_sends(), ..fresh }
    }

    /// Size relative to other backends, clamped to [`SIZE_BOUNDS`].
    pub(crate) fn size(&self) -> f64 {
        let (smallest, largest) = SIZE_BOUNDS;
        if self.entry.size.is_finite() { self.entry.size.clamp(smallest, largest) } else { 1.0 }
    }

    pub(crate) fn store(&self) -> StoredBackend {
        let mut stored = StoredBackend::default();
        self.load.store(&mut stored);
        self.latency.store(&mut stored);
        self.health.store(&mut stored);
        self.slow_start.store(&mut stored);
        stored
    }

    /// Restores the estimates from a snapshot. The entry in the endpoint list, the start time from its
    /// notification and the attempts in flight remain those of this gatekeeper.
    pub(crate) fn restore(&mut self, stored: StoredBackend, now: Timestamp) {
        self.load.restore(&stored);
        self.latency = BackendLatency::restore(&stored, now);
        self.slow_start.restore(&stored);
        self.health = BackendHealth::restore(stored);
    }
}

/// Attempts of this gatekeeper at one backend: those in flight, and those sent recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct BackendLoad {
    in_flight: u32,
    /// Exponentially decaying number of sends, used where requests are distributed by size.
    recent_sends: f64,
}

impl BackendLoad {
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(crate) fn recent_sends(&self) -> f64 {
        self.recent_sends
    }

    pub(crate) fn record_send(&mut self) {
        self.in_flight += 1;
        self.recent_sends += 1.0;
    }

    pub(crate) fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Decays the number of recent sends for the seconds that have passed.
    pub(crate) fn decay_recent_sends(&mut self, seconds: f64) {
        self.recent_sends *= (-seconds / RECENT_SENDS_DECAY_SECONDS).exp();
    }

    fn without_recent_sends(&self) -> Self {
        Self { in_flight: self.in_flight, recent_sends: 0.0 }
    }

    fn store(&self, stored: &mut StoredBackend) {
        stored.in_flight = self.in_flight;
        stored.recent_sends = self.recent_sends;
    }

    fn restore(&mut self, stored: &StoredBackend) {
        self.recent_sends = stored.recent_sends;
    }
}
