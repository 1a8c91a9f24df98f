//! The log lines of the scheduler's notices. Their fields keep the names `duty` and `round` for readers of the JSON log.

use super::Coordinator;
use periodic_jobs::{ClockReading, Notice};

/// Returns the key under which the log lines of a notice are rate-limited.
fn kind(notice: &Notice) -> &'static str {
    match notice {
        Notice::StoreUnavailable { .. } => "store unavailable",
        Notice::StoreAvailable => "store available",
        Notice::StoreReset(_) => "store reset",
        Notice::Seeded { .. } => "seeded",
        Notice::AcquiredTooLate { .. } => "acquired too late",
        Notice::LeaseRecovered { .. } => "lease recovered",
        Notice::RecordAheadOfClock { .. } => "record ahead",
        Notice::ClockStepped { .. } => "clock stepped",
    }
}

impl Coordinator {
    pub(super) fn log_notice(&mut self, now: ClockReading, notice: &Notice) {
        let Some(more) = self.log_limiter.suffix(kind(notice), now.monotonic_ms) else { return };
        match notice {
            Notice::StoreUnavailable { reason } => {
                tracing::warn!(
                    "jobs: the lease store is unavailable ({reason}); no lease is acquired and nothing runs{more}"
                );
            }
            Notice::StoreAvailable => tracing::info!("jobs: the lease store is available again{more}"),
            Notice::StoreReset(reason) => {
                tracing::info!("jobs: all leases are read anew, since {reason}{more}");
            }
            Notice::Seeded { job, run } => {
                let (duty, round) = (job, run.0);
                tracing::info!(
                    duty,
                    round,
                    "jobs: {duty} had no lease record; its first run is after {round}{more}"
                );
            }
            Notice::AcquiredTooLate { job, run } => {
                let (duty, round) = (job, run.0);
                tracing::warn!(
                    duty,
                    round,
                    "jobs: run {round} of {duty} was acquired too late to start{more}"
                );
            }
            Notice::LeaseRecovered { job, run } => {
                let (duty, round) = (job, run.0);
                tracing::info!(
                    duty,
                    round,
                    "jobs: the lease on run {round} of {duty} holds, though the response was lost{more}"
                );
            }
            Notice::RecordAheadOfClock { job, run } => {
                let (duty, round) = (job, run.0);
                tracing::info!(
                    duty,
                    round,
                    "jobs: the lease record of {duty} is at run {round}, ahead of any clock here; it does not run{more}"
                );
            }
            Notice::ClockStepped { by_ms } => {
                tracing::warn!("jobs: the clock was set by {by_ms} ms, or this instance was paused{more}");
            }
        }
    }
}
