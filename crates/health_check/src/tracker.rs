//! The health of all backends, derived from their newest reports.

use crate::{Config, HealthReport};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use timestamps::{MonotonicTime, UnixTime};

/// The number of check periods after which a received report is stale and ignored.
pub const STALE_AFTER_PERIODS: u32 = 3;

/// The status of a backend according to its health checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// There is no report, or the newest one is stale. The backend is judged by its traffic alone.
    Unknown,
    /// The newest report says that the backend is not failing.
    Healthy,
    /// The backend is failing and receives no new requests.
    Ejected,
    /// The backend is failing, but the ejection limit is reached. The backend is judged by its traffic alone.
    EjectionLimited,
}

/// The status of a backend and the age of its newest report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendHealth {
    /// The status that follows from the newest report and the ejection limit.
    pub status: HealthStatus,
    /// The time since this instance received or made the newest report. `None` if there is no report.
    pub report_age: Option<Duration>,
}

/// A report and the moment at which this instance received or made it.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    report: HealthReport,
    received_at: MonotonicTime,
}

impl ReceivedReport {
    fn age(&self, now: MonotonicTime) -> Duration {
        now.saturating_since(self.received_at)
    }
}

/// A failing backend. The order is by the time since which it has been failing, then by id.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FailingBackend {
    since: UnixTime,
    id: String,
}

/// Keeps the newest report of each backend and determines which backends are ejected.
///
/// `now` is a reading of the driver's monotonic clock.
#[derive(Debug)]
pub struct HealthTracker {
    config: Config,
    reports: BTreeMap<String, Option<ReceivedReport>>,
}

impl HealthTracker {
    /// Creates a tracker without backends.
    pub fn new(config: Config) -> Self {
        Self { config, reports: BTreeMap::new() }
    }

    /// Returns the configuration given to [`HealthTracker::new`].
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Replaces the set of backends. Backends in both the old and the new set keep their reports.
    pub fn set_backends(&mut self, ids: impl IntoIterator<Item = String>) {
        let mut before = std::mem::take(&mut self.reports);
        self.reports = ids.into_iter().map(|id| (id.clone(), before.remove(&id).flatten())).collect();
    }

    /// Records the result of a check made by this instance and returns the report to disseminate. Returns `None` for an
    /// unknown backend, and for a check that is not newer than the newest report.
    pub fn record_check(
        &mut self,
        id: &str,
        scheduled_at: UnixTime,
        passed: bool,
        now: MonotonicTime,
    ) -> Option<HealthReport> {
        let before = self.reports.get(id)?.map(|received| received.report);
        if before.is_some_and(|before| before.scheduled_at >= scheduled_at) {
            return None;
        }
        let report = HealthReport::after_check(before.as_ref(), scheduled_at, passed, &self.config);
        self.apply_report(id, report, now).then_some(report)
    }

    /// Stores a report if its backend is known and the report is newer than the stored report. Returns whether the report was
    /// stored.
    pub fn apply_report(&mut self, id: &str, report: HealthReport, now: MonotonicTime) -> bool {
        let Some(newest) = self.reports.get_mut(id) else { return false };
        if newest.is_some_and(|newest| newest.report.scheduled_at >= report.scheduled_at) {
            return false;
        }
        *newest = Some(ReceivedReport { report, received_at: now });
        true
    }

    /// Returns the health of each backend by id.
    pub fn health(&self, now: MonotonicTime) -> BTreeMap<&str, BackendHealth> {
        let ejected = self.ejected(now);
        let mut health = BTreeMap::new();
        for (id, received) in &self.reports {
            let status = self.status(received.as_ref(), ejected.contains(id), now);
            let report_age = received.map(|received| received.age(now));
            health.insert(id.as_str(), BackendHealth { status, report_age });
        }
        health
    }

    fn status(&self, received: Option<&ReceivedReport>, ejected: bool, now: MonotonicTime) -> HealthStatus {
        match received {
            None => HealthStatus::Unknown,
            Some(received) if self.is_stale(received, now) => HealthStatus::Unknown,
            Some(received) if !received.report.failing => HealthStatus::Healthy,
            Some(_) if ejected => HealthStatus::Ejected,
            Some(_) => HealthStatus::EjectionLimited,
        }
    }

    /// Returns the ids of the ejected backends: those that have been failing longest, up to the ejection limit.
    pub fn ejected(&self, now: MonotonicTime) -> BTreeSet<String> {
        let longest_failing = self.failing_backends(now).into_iter().take(self.max_ejected());
        longest_failing.map(|backend| backend.id).collect()
    }

    /// Returns the maximum number of ejected backends. The limit is rounded down: a fraction of 0.5 allows one of three backends.
    fn max_ejected(&self) -> usize {
        (self.reports.len() as f64 * self.config.max_ejected_fraction) as usize
    }

    /// Returns the failing backends whose report is not stale, longest failing first.
    fn failing_backends(&self, now: MonotonicTime) -> BTreeSet<FailingBackend> {
        let mut failing = BTreeSet::new();
        for (id, received) in &self.reports {
            if let Some(received) = received
                && received.report.failing
                && !self.is_stale(received, now)
            {
                failing.insert(FailingBackend { since: received.report.changed_at, id: id.clone() });
            }
        }
        failing
    }

    fn is_stale(&self, received: &ReceivedReport, now: MonotonicTime) -> bool {
        received.age(now) > STALE_AFTER_PERIODS * self.config.period
    }
}

#[cfg(test)]
mod tests;
