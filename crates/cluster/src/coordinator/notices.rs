//! The log lines of the scheduler's notices.

use super::Coordinator;
use periodic_jobs::{ClockReading, Notice};

/// The kind by which lines of a notice are rate-limited.
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
                tracing::warn!("duties: the claim store is away ({reason}); nothing is claimed or run{more}");
            }
            Notice::StoreAvailable => tracing::info!("duties: the claim store answers again{more}"),
            Notice::StoreReset(reason) => {
                tracing::info!("duties: the claim store is read anew, since {reason}{more}");
            }
            Notice::Seeded { job, run } => {
                let (duty, round) = (job, run.0);
                tracing::info!(
                    duty,
                    round,
                    "duties: {duty} had no record; it begins after round {round}{more}"
                );
            }
            Notice::AcquiredTooLate { job, run } => {
                let (duty, round) = (job, run.0);
                tracing::warn!(
                    duty,
                    round,
                    "duties: round {round} of {duty} was claimed too late to run{more}"
                );
            }
            Notice::LeaseRecovered { job, run } => {
                let (duty, round) = (job, run.0);
                tracing::info!(
                    duty,
                    round,
                    "duties: the claim on round {round} of {duty} holds, though its answer was lost{more}"
                );
            }
            Notice::RecordAheadOfClock { job, run } => {
                let (duty, round) = (job, run.0);
                tracing::info!(
                    duty,
                    round,
                    "duties: {duty} stands at round {round}, ahead of any clock here; it does not run{more}"
                );
            }
            Notice::ClockStepped { by_ms } => {
                tracing::warn!("duties: the clock was set by {by_ms} ms, or this instance was paused{more}");
            }
        }
    }
}
