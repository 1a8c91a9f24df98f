//! Token buckets of a tenant: refill, headroom, charge at admission, and settlement when the actual cost is
//! known.

use crate::counter_sync::REPORT_DELAY;
use crate::headroom::Headroom;
use crate::ids::{RequestId, TenantId};
use crate::state::{Request, TenantBucket};
use crate::state_machine::Policy;
use crate::time::{Micros, SECOND};

/// Uncertain units that count, in standard deviations.
const UNCERTAINTY_DEVIATIONS: f64 = 2.0;
/// Weight of one request in the mean cost.
const MEAN_COST_WEIGHT: f64 = 0.05;
/// Part of a bucket's level that the tenant's gatekeepers may leave unreported together.
const UNREPORTED_PART: f64 = 0.5;

impl Policy {
    /// Finds or creates a tenant's bucket and brings it up to now.
    pub(crate) fn refill(&mut self, tenant: TenantId, plan: usize, gatekeepers: f64) {
        let (now, settings) = (self.now, &self.settings);
        let age = now.seconds_since(self.started_at);
        let create = || TenantBucket::new(settings, plan, gatekeepers, age, now);
        let bucket = self.tenants.entry(tenant).or_insert_with(create);
        bucket.gatekeepers = gatekeepers;
        bucket.refill(settings, now);
    }

    pub(crate) fn headroom(&self, bucket: &TenantBucket, request: &Request) -> Headroom {
        let required = bucket.required(request);
        if !self.settings.shared_counter || self.counter.silent_since.is_some() {
            return Headroom::certain(bucket.local_share - required);
        }
        if bucket.last_total.is_none() {
            return Headroom { units: bucket.local_share - required, uncertainty: f64::INFINITY };
        }
        let rate = self.settings.plans[bucket.plan].rate;
        let unseen = self.now.seconds_since(bucket.synced_at);
        // No total can show more than this: where that is too little, none is read.
        let max_units = bucket.synced_level + rate * unseen - bucket.spent_since_sync - required;
        if max_units < 0.0 {
            return Headroom::certain(max_units);
        }
        let others_rate = bucket.others_rate.max(rate * (1.0 - 2.0 / bucket.gatekeepers));
        let deviation = (others_rate * unseen * self.settings.max_cost).sqrt();
        Headroom { units: bucket.level - required, uncertainty: UNCERTAINTY_DEVIATIONS * deviation }
    }

    /// Takes the units at admission. The surcharge empties this bucket only: the actual spend is shared.
    pub(crate) fn charge(&mut self, request: &Request) {
        // Spent while the counter is silent: out of this gatekeeper's own share, so no other has to learn of
        // it.
        let counter_is_silent = self.counter.silent_since.is_some();
        let Some(bucket) = self.tenants.get_mut(&request.tenant) else { return };
        let cost = request.cost;
        self.pool.mean_cost += MEAN_COST_WEIGHT * (cost - self.pool.mean_cost);
        bucket.last_admitted = self.now;
        bucket.spend(cost);
        bucket.unreported -= if counter_is_silent { cost } else { 0.0 };
        bucket.local_share = (bucket.local_share - cost).max(-cost);
        bucket.ceiling_level -= cost;
        bucket.surcharge += request.charged_cost - cost;
        bucket.reserved += request.reserved;
        // While much is left, others need not learn of each unit at once.
        let may_delay = bucket.unreported.abs() * bucket.gatekeepers < UNREPORTED_PART * bucket.level;
        let delay = if may_delay { REPORT_DELAY } else { 0 };
        self.schedule_counter_sync(request.tenant, cost, delay);
    }

    /// The answer told the actual cost: the difference is charged or refunded, and the reservation ends.
    pub(crate) fn settle(&mut self, id: RequestId, units: f64) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.settled) else { return };
        request.settled = true;
        let (tenant, difference) = (request.tenant, units - request.cost);
        let Some(bucket) = self.tenants.get_mut(&tenant) else { return };
        bucket.reserved = (bucket.reserved - request.reserved).max(0.0);
        if self.settings.estimated_costs && units.is_finite() && units > 0.0 {
            bucket.spend(difference);
            bucket.local_share -= difference;
            let stats = &mut self.class_stats[request.class];
            stats.largest_cost = stats.largest_cost.max(units).min(self.settings.max_cost);
            // A small difference: it goes with the next spend, or after a second.
            self.schedule_counter_sync(tenant, difference, SECOND as Micros);
        }
    }
}
