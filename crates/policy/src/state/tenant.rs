//! One tenant's quota.

use super::Request;
use crate::ids::RequestId;
use crate::settings::Settings;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};

/// One tenant's token buckets as this gatekeeper knows them. The order of the fields is part of the form of a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct TenantBucket {
    /// Number of its plan.
    pub(crate) plan: usize,
    /// How many gatekeepers its requests come through.
    pub(crate) gatekeepers: f64,
    /// Estimated units in the shared bucket.
    pub(crate) level: f64,
    /// Units in this gatekeeper's own share of the bucket.
    pub(crate) local_share: f64,
    /// `level` at the last total that was read, and own spend since.
    pub(crate) synced_level: f64,
    pub(crate) spent_since_sync: f64,
    /// When the levels were last brought up to date.
    pub(crate) refilled_at: Timestamp,
    /// Own spend that the counter has not been told.
    pub(crate) unreported: f64,
    /// Units that overflowed the full bucket and are written off in the count, with the call in flight or the next one;
    /// negative: written off too much.
    pub(crate) written_off: f64,
    /// What the last total says about the bucket.
    pub(crate) view: BucketView,
    /// Units reserved above the estimated costs until these are settled.
    pub(crate) reserved: f64,
    /// Units a second that other gatekeepers spend, and by which they raise the total.
    pub(crate) others_rate: f64,
    pub(crate) others_growth: f64,
    /// The total that was read last.
    pub(crate) last_total: Option<CountTotal>,
    pub(crate) synced_at: Timestamp,
    /// What the call in flight adds to the count.
    pub(crate) call_in_flight: Option<f64>,
    /// When unreported spend is to be reported.
    pub(crate) report_due: Timestamp,
    /// Requests that wait for the call in flight.
    pub(crate) waiting: Vec<RequestId>,
    /// Units in this gatekeeper's share of the hard ceiling.
    pub(crate) ceiling_level: f64,
    /// Units charged above the cost while latency is high.
    pub(crate) surcharge: f64,
    /// Attempts in flight, and when the last request was admitted.
    pub(crate) in_flight: u32,
    pub(crate) last_admitted: Timestamp,
}

impl TenantBucket {
    pub(crate) fn new(settings: &Settings, plan: usize, gatekeepers: f64, age: f64, now: Timestamp) -> Self {
        let quota = &settings.plans[plan];
        Self {
            plan,
            // A new tenant starts with its even share of a second's quota, but with one request at least.
            local_share: (quota.rate / gatekeepers).max(settings.max_cost),
            // What refilled since this gatekeeper's start: a restart must not fill the ceiling's bucket anew.
            ceiling_level: (quota.ceiling_rate * age).min(quota.ceiling_burst) / gatekeepers,
            level: quota.burst,
            synced_level: quota.burst,
            last_admitted: now,
            refilled_at: now,
            synced_at: now,
            ..Self::default()
        }
    }

    /// Brings the levels up to now.
    pub(crate) fn refill(&mut self, settings: &Settings, now: Timestamp) {
        let (plan, gatekeepers) = (&settings.plans[self.plan], self.gatekeepers);
        let seconds = now.seconds_since(self.refilled_at);
        self.refilled_at = now;
        let ceiling_share = plan.ceiling_burst / gatekeepers;
        self.ceiling_level =
            (self.ceiling_level + plan.ceiling_rate / gatekeepers * seconds).min(ceiling_share);
        self.surcharge = (self.surcharge - plan.rate / gatekeepers * seconds).max(0.0);
        // The others go on spending unseen, but in the long run no more than what refills.
        let others_rate = self.others_rate.min(plan.rate);
        self.level = (self.level + (plan.rate - others_rate) * seconds).min(plan.burst);
        // The local share: what it may spend whatever the others do.
        let share = 1.0 / gatekeepers;
        let local_burst = (plan.burst * share).max(settings.max_cost);
        self.local_share = (self.local_share + plan.rate * share * seconds).min(local_burst);
    }

    /// Units that must be available for this request to be admitted.
    pub(crate) fn required(&self, request: &Request) -> f64 {
        self.reserved + self.surcharge + request.charged_cost + request.reserved
    }
}

/// What the total of a tenant's count says about its bucket.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub(crate) enum BucketView {
    /// The first total under a name: spend may have been reported under the name before.
    #[default]
    Fresh,
    /// The level is exact.
    Exact,
    /// Spend went unreported, while the counter was silent or because it lost totals: only changes of the total count until
    /// the next name.
    Diverged,
}

/// A total of a named count.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct CountTotal {
    pub(crate) name: u64,
    pub(crate) total: f64,
}
