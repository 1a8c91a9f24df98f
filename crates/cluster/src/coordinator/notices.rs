//! The part of the coordinator that logs the scheduler's notices.

use super::Coordinator;
use crate::log_limiter::{LogKind, LogPermit};
use periodic_jobs::{ClockReading, Notice};
use std::mem;

impl Coordinator {
    pub(super) fn log_notice(&mut self, now: ClockReading, notice: &Notice) {
        let kind = LogKind::Notice(mem::discriminant(notice));
        let Some(LogPermit { suppressed }) = self.log_limiter.permit(kind, now.monotonic) else { return };
        match notice {
            Notice::StoreUnavailable { reason } => {
                tracing::warn!(error = %reason, suppressed, "lease store unreachable, no job runs");
            }
            Notice::StoreAvailable => tracing::info!(suppressed, "lease store recovered"),
            Notice::StoreReset(reason) => {
                tracing::info!(%reason, suppressed, "leases invalidated, reading them again")
            }
            Notice::Seeded { job, run } => {
                tracing::info!(job, run = run.0, suppressed, "lease record created")
            }
            Notice::AcquiredTooLate { job, run } => {
                tracing::warn!(job, run = run.0, suppressed, "lease acquired too late to start the run");
            }
            Notice::LeaseRecovered { job, run } => {
                tracing::info!(job, run = run.0, suppressed, "lease confirmed after its response was lost");
            }
            Notice::RecordAheadOfClock { job, run } => {
                tracing::info!(
                    job,
                    run = run.0,
                    suppressed,
                    "lease record ahead of every clock, the job does not run"
                );
            }
            Notice::ClockStepped { by_ms } => {
                tracing::warn!(offset_ms = by_ms, suppressed, "wall clock stepped or instance suspended");
            }
        }
    }
}
