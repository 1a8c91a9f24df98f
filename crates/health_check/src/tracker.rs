//! The health of all backends, derived from their newest reports.

use crate::{Config, HealthReport};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use timestamps::{MonotonicTime, UnixTime};

/// The age in check periods beyond which a report is ignored.
pub const STALE_AFTER_PERIODS: u32 = 3;

/// The status of a backend by its health checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// No recent report exists. The backend is judged by its traffic alone.
    Unknown,
    /// The backend passes its checks.
    Healthy,
    /// The backend fails its checks and gets no new requests.
    Ejected,
    /// The backend fails its checks, but the ejection limit is reached. It is judged by its traffic alone.
    EjectionLimited,
}

/// The status of a backend and the age of its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendHealth {
    /// The status.
    pub status: HealthStatus,
    /// The age of the newest report. `None` if there is no report.
    pub report_age: Option<Duration>,
}

/// A report and the moment at which this instance received it.
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

/// A failing backend, ordered by the time since which it has been failing.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FailingBackend {
    since: UnixTime,
    id: String,
}

/// The newest report of each backend.
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

    /// Returns the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Replaces the backends. Backends that remain keep their reports.
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

    /// Applies a report if it is newer than the one stored. Returns whether it was.
    pub fn apply_report(&mut self, id: &str, report: HealthReport, now: MonotonicTime) -> bool {
        let Some(newest) = self.reports.get_mut(id) else { return false };
        if newest.is_some_and(|newest| newest.report.scheduled_at >= report.scheduled_at) {
            return false;
        }
        *newest = Some(ReceivedReport { report, received_at: now });
        true
    }

    /// Returns the health of each backend.
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

    /// Returns the ids of the ejected backends: those that have failed longest, up to the limit.
    pub fn ejected(&self, now: MonotonicTime) -> BTreeSet<String> {
        let longest_failing = self.failing_backends(now).into_iter().take(self.max_ejected());
        longest_failing.map(|backend| backend.id).collect()
    }

    /// Returns the maximum number of ejected backends. It is rounded down: a fraction of 0.5 allows one of three.
    fn max_ejected(&self) -> usize {
        (self.reports.len() as f64 * self.config.max_ejected_fraction) as usize
    }

    /// Returns the failing backends with a recent report, longest failing first.
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
