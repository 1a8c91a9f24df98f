//! The health of all backends by their newest reports.

use crate::{Config, HealthReport};
use std::collections::BTreeMap;

/// Check periods without a new report after which a report no longer counts.
pub const STALE_AFTER_PERIODS: u64 = 3;

/// What health checks say about a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// There is no recent report: the backend is judged by its traffic alone.
    Unknown,
    /// It passes its checks.
    Healthy,
    /// It fails its checks and gets no new requests.
    Ejected,
    /// It fails its checks, but too many are ejected already: it is judged by its traffic alone.
    EjectionLimited,
}

/// The status of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendHealth {
    /// The status.
    pub status: HealthStatus,
    /// The age of the newest report in milliseconds; `None` where the backend was never checked.
    pub report_age_ms: Option<u64>,
}

/// A report, and when this instance got it.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    report: HealthReport,
    /// Milliseconds of the driver's monotonic clock.
    received_ms: u64,
}

/// The newest report of each backend. Times are milliseconds of the driver's monotonic clock.
#[derive(Debug)]
pub struct HealthTracker {
    config: Config,
    reports: BTreeMap<String, Option<ReceivedReport>>,
}

impl HealthTracker {
    /// A tracker without backends.
    pub fn new(config: Config) -> Self {
        Self { config, reports: BTreeMap::new() }
    }

    /// The configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Replaces the backends; the reports of those that stay are kept.
    pub fn set_backends(&mut self, ids: impl IntoIterator<Item = String>) {
        let mut before = std::mem::take(&mut self.reports);
        self.reports = ids.into_iter().map(|id| (id.clone(), before.remove(&id).flatten())).collect();
    }

    /// Records the result of a check made by this instance; returns the report to disseminate. `None` for an unknown
    /// backend, and for a check that is not newer than the newest report.
    pub fn record_check(
        &mut self,
        id: &str,
        scheduled_unix_ms: u64,
        passed: bool,
        now_ms: u64,
    ) -> Option<HealthReport> {
        let before = self.reports.get(id)?.map(|received| received.report);
        if before.is_some_and(|before| before.scheduled_unix_ms >= scheduled_unix_ms) {
            return None;
        }
        let report = HealthReport::after_check(before.as_ref(), scheduled_unix_ms, passed, &self.config);
        self.apply_report(id, report, now_ms).then_some(report)
    }

    /// Applies a report; returns whether it is newer than the newest one so far.
    pub fn apply_report(&mut self, id: &str, report: HealthReport, now_ms: u64) -> bool {
        let Some(newest) = self.reports.get_mut(id) else { return false };
        if newest.is_some_and(|newest| newest.report.scheduled_unix_ms >= report.scheduled_unix_ms) {
            return false;
        }
        *newest = Some(ReceivedReport { report, received_ms: now_ms });
        true
    }

    /// The health of each backend.
    pub fn health(&self, now_ms: u64) -> BTreeMap<&str, BackendHealth> {
        let ejected = self.ejected(now_ms);
        let health = |(id, received): (&String, &Option<ReceivedReport>)| {
            let status = match received {
                Some(received) if self.is_stale(received, now_ms) => HealthStatus::Unknown,
                Some(received) if !received.report.failing => HealthStatus::Healthy,
                Some(_) if ejected.contains(id) => HealthStatus::Ejected,
                Some(_) => HealthStatus::EjectionLimited,
                None => HealthStatus::Unknown,
            };
            let report_age_ms = received.map(|received| now_ms.saturating_sub(received.received_ms));
            BackendHealth { status, report_age_ms }
        };
        self.reports.iter().map(|entry| (entry.0.as_str(), health(entry))).collect()
    }

    /// The ids of the ejected backends, sorted.
    pub fn ejected(&self, now_ms: u64) -> Vec<String> {
        let failing_since = |(id, received): (&String, &Option<ReceivedReport>)| {
            let received = received.filter(|r| r.report.failing && !self.is_stale(r, now_ms))?;
            Some((received.report.changed_unix_ms, id.clone()))
        };
        let mut failing: Vec<(u64, String)> = self.reports.iter().filter_map(failing_since).collect();
        failing.sort_unstable();
        // Rounded down: of three backends, a fraction of 0.5 allows one ejection.
        let max_ejected = (self.reports.len() as f64 * self.config.max_ejected_fraction) as usize;
        failing.truncate(max_ejected);
        let mut ejected: Vec<String> = failing.into_iter().map(|(_, id)| id).collect();
        ejected.sort_unstable();
        ejected
    }

    fn is_stale(&self, received: &ReceivedReport, now_ms: u64) -> bool {
        now_ms.saturating_sub(received.received_ms) > STALE_AFTER_PERIODS * self.config.period_ms
    }
}

#[cfg(test)]
mod tests;
