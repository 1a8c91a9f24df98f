//! One backend.

use crate::event::BackendEntry;
use crate::time::{Micros, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bounds of a backend's size: a wrong figure must not attract all work, or none for good.
const SIZE_BOUNDS: (f64, f64) = (0.05, 20.0);

/// One backend as this gatekeeper sees it. The order of the fields is part of the form of a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Backend {
    /// Its entry in the endpoint list; another gatekeeper has its own list.
    #[serde(skip)]
    pub(crate) entry: BackendEntry,
    /// When it started by this gatekeeper's clock, where that was notified of the start; else its entry tells.
    #[serde(skip)]
    pub(crate) notified_start: Option<Timestamp>,
    /// Attempts in flight.
    pub(crate) in_flight: u32,
    /// Recent latency as a multiple of the mean of the class, and when it was last updated.
    pub(crate) relative_latency: f64,
    pub(crate) latency_updated_at: Timestamp,
    pub(crate) last_answer: Timestamp,
    /// By class.
    pub(crate) health: Vec<ClassHealth>,
    /// By class and plan: until when it gets none of these after it rejected one.
    pub(crate) rejects_until: BTreeMap<(usize, usize), Timestamp>,
    /// Attempts that it may be sent during slow start.
    pub(crate) slow_start_tokens: f64,
    /// Attempts sent recently, decaying; used where work goes by size.
    pub(crate) recent_sends: f64,
    /// When operators admitted it again: it may have restarted while it was ejected.
    pub(crate) readmitted_at: Timestamp,
    /// Until when no connection is attempted, and the last backoff.
    pub(crate) connect_backoff_until: Timestamp,
    pub(crate) connect_backoff: Micros,
}

/// How one class fares at one backend.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct ClassHealth {
    pub(crate) last_answer: Timestamp,
    /// Set while the backend is ejected for this class: the time of the next trial.
    pub(crate) ejected_until: Option<Timestamp>,
}

impl Backend {
    pub(crate) fn new(entry: BackendEntry, now: Timestamp, classes: usize) -> Self {
        let health = vec![ClassHealth { last_answer: now, ejected_until: None }; classes];
        Self {
            entry,
            relative_latency: 1.0,
            health,
            last_answer: now,
            latency_updated_at: now,
            ..Self::default()
        }
    }

    /// Its size relative to others, within bounds.
    pub(crate) fn size(&self) -> f64 {
        let (smallest, largest) = SIZE_BOUNDS;
        if self.entry.size.is_finite() { self.entry.size.clamp(smallest, largest) } else { 1.0 }
    }

    /// Whether it is an outlier for every class, so that only a trial can tell otherwise.
    pub(crate) fn is_ejected(&self) -> bool {
        self.health.iter().all(|health| health.ejected_until.is_some())
    }

    /// Whether this class is the one for its trial: the last that it answered.
    pub(crate) fn wants_trial(&self, class: usize) -> bool {
        let last_answer = self.health[class].last_answer;
        self.is_ejected() && self.health.iter().all(|health| health.last_answer <= last_answer)
    }

    /// The time of the next trial if it is ejected for this class.
    pub(crate) fn ejected_until(&self, class: usize) -> Option<Timestamp> {
        self.health.get(class).and_then(|health| health.ejected_until)
    }
}
