//! Plain data forms of the state machine's parts, which processes exchange at a hot restart. Fields are
//! serialized by position, so their order must not change.

use crate::count_total::{CountTotal, LevelAccuracy};
use crate::ids::{BackendId, RequestId};
use crate::time::{Micros, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Stored form of a [`TenantQuota`](crate::tenant_quota::TenantQuota).
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct StoredQuota {
    pub(crate) plan: usize,
    pub(crate) gatekeeper_count: f64,
    pub(crate) level: f64,
    pub(crate) local_share: f64,
    pub(crate) synced_level: f64,
    pub(crate) spent_since_sync: f64,
    pub(crate) refilled_at: Timestamp,
    pub(crate) unreported: f64,
    pub(crate) overflow_to_report: f64,
    pub(crate) level_accuracy: LevelAccuracy,
    pub(crate) reserved: f64,
    pub(crate) others_spend_rate: f64,
    pub(crate) others_total_growth_rate: f64,
    pub(crate) last_total: Option<CountTotal>,
    pub(crate) synced_at: Timestamp,
    pub(crate) units_in_flight: Option<f64>,
    pub(crate) report_due: Timestamp,
    pub(crate) waiting: Vec<RequestId>,
    pub(crate) ceiling_level: f64,
    pub(crate) surcharge: f64,
    pub(crate) in_flight: u32,
    pub(crate) last_admitted: Timestamp,
}

/// Stored form of a [`Backend`](crate::backend::Backend) without its entry, which each process has from its
/// own endpoint list.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct StoredBackend {
    pub(crate) in_flight: u32,
    pub(crate) relative_latency: f64,
    pub(crate) latency_updated_at: Timestamp,
    pub(crate) last_answer: Timestamp,
    pub(crate) classes: Vec<StoredClassHealth>,
    pub(crate) rejects_until: BTreeMap<(usize, usize), Timestamp>,
    pub(crate) slow_start_tokens: f64,
    pub(crate) recent_sends: f64,
    pub(crate) readmitted_at: Timestamp,
    pub(crate) connect_backoff_until: Timestamp,
    pub(crate) connect_backoff: Micros,
}

/// Stored health of a backend for one class.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct StoredClassHealth {
    pub(crate) last_answer: Timestamp,
    pub(crate) ejected_until: Option<Timestamp>,
}

/// Stored state of one backend, valid unless the backend has restarted since `started`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct BackendSnapshot {
    pub(crate) id: BackendId,
    pub(crate) started: Timestamp,
    pub(crate) state: StoredBackend,
}

/// Stored form of a [`ServicePool`](crate::service_pool::ServicePool).
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct StoredPool {
    pub(crate) ready: Vec<BackendId>,
    pub(crate) subset_size: usize,
    pub(crate) has_uneven_sizes: bool,
    pub(crate) in_panic_mode: bool,
    pub(crate) concurrency_limit: f64,
    pub(crate) limit_reduced_at: Timestamp,
    pub(crate) last_send: Timestamp,
    pub(crate) objective_fraction: f64,
    pub(crate) mean_latency: f64,
    pub(crate) mean_attempt_time: f64,
    pub(crate) mean_cost: f64,
    pub(crate) representative_latency: f64,
    pub(crate) objective_fraction_updated_at: Timestamp,
    pub(crate) measured_rate: f64,
    pub(crate) assumed_rate: f64,
    pub(crate) answers_since_measured: u64,
    pub(crate) measured_at: Timestamp,
}

impl StoredQuota {
    /// Replaces levels and other numbers that are not finite by 0, and times in the future by `now`.
    pub(crate) fn sanitize(&mut self, now: Timestamp) {
        for value in [
            &mut self.level,
            &mut self.local_share,
            &mut self.synced_level,
            &mut self.ceiling_level,
            &mut self.unreported,
            &mut self.spent_since_sync,
            &mut self.overflow_to_report,
            &mut self.others_total_growth_rate,
        ] {
            *value = if value.is_finite() { *value } else { 0.0 };
        }
        for time in [&mut self.refilled_at, &mut self.synced_at, &mut self.last_admitted] {
            *time = (*time).min(now);
        }
    }
}
