//! One backend as this gatekeeper sees it: its entry in the endpoint list, and the parts that learn about it.

use crate::backend_latency::BackendLatency;
use crate::event::BackendEntry;
use crate::outlier_detection::BackendHealth;
use crate::slow_start::SlowStart;
use crate::stored::StoredBackend;
use crate::time::Timestamp;

/// Bounds of a backend's size: a wrong figure must not attract all work, or none for good.
const SIZE_BOUNDS: (f64, f64) = (0.05, 20.0);
/// Seconds; memory of recent sends, used where work is distributed by size.
const RECENT_SENDS_MEMORY: f64 = 1.0;

/// One backend.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    /// Its entry in the endpoint list.
    pub(crate) entry: BackendEntry,
    pub(crate) load: BackendLoad,
    pub(crate) latency: BackendLatency,
    pub(crate) health: BackendHealth,
    pub(crate) slow_start: SlowStart,
}

impl Backend {
    /// A new backend.
    pub(crate) fn new(entry: BackendEntry, slow_start: SlowStart, now: Timestamp, classes: usize) -> Self {
        Self {
            entry,
            load: BackendLoad::default(),
            latency: BackendLatency::new(now),
            health: BackendHealth::new(now, classes),
            slow_start,
        }
    }

    /// The same backend after a restart: estimates are reset, and attempts in flight still end.
    pub(crate) fn restarted(&self, entry: BackendEntry, slow_start: SlowStart, now: Timestamp) -> Self {
        let fresh = Self::new(entry, slow_start, now, self.health.classes());
        Self { load: self.load.without_recent_sends(), ..fresh }
    }

    /// Its size relative to others, within bounds.
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

    /// Continues from a snapshot. The entry, the notified start and the attempts in flight are those of this gatekeeper.
    pub(crate) fn restore(&mut self, stored: StoredBackend, now: Timestamp) {
        self.load.restore(&stored);
        self.latency = BackendLatency::restore(&stored, now);
        self.slow_start.restore(&stored);
        self.health = BackendHealth::restore(stored);
    }
}

/// Attempts of this gatekeeper in flight at a backend, and its recent sends.
#[derive(Clone, Debug, Default)]
pub(crate) struct BackendLoad {
    in_flight: u32,
    /// Recent sends, decaying; used where work is distributed by size.
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

    /// Lets the memory of recent sends decay over this many seconds.
    pub(crate) fn decay(&mut self, seconds: f64) {
        self.recent_sends *= (-seconds / RECENT_SENDS_MEMORY).exp();
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
