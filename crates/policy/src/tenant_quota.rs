//! The quota of one tenant: the bucket shared with other gatekeepers, this gatekeeper's local shares of
//! bucket and ceiling, and the units reserved until costs are settled.

use crate::counter_sync::NEGLIGIBLE_UNITS;
use crate::headroom::Headroom;
use crate::ids::RequestId;
use crate::request::Price;
use crate::settings::{Plan, Settings};
use crate::shared_bucket::SharedBucket;
use crate::stored::StoredQuota;
use crate::time::{Micros, Timestamp};

/// Uncertainty of a bucket's level, in standard deviations of the spend of other gatekeepers since the last
/// total that the counter returned.
const UNCERTAINTY_DEVIATIONS: f64 = 2.0;
/// Fraction of a bucket's level that the tenant's gatekeepers together may leave unreported.
const MAX_UNREPORTED_FRACTION: f64 = 0.5;

/// Whether the shared counter can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CounterState {
    /// The counter is configured and answers.
    Available,
    /// No counter is configured, or it is silent: each gatekeeper enforces its local shares alone.
    Unavailable,
}

/// The quota of one tenant as this gatekeeper knows it.
#[derive(Clone, Debug)]
pub(crate) struct TenantQuota {
    /// Index of the tenant's plan in the settings.
    pub(crate) plan: usize,
    /// Number of gatekeepers that receive the tenant's requests.
    gatekeeper_count: f64,
    pub(crate) shared: SharedBucket,
    /// Units left in this gatekeeper's share of the bucket, which it may spend without the counter.
    local_share: f64,
    /// Units left in this gatekeeper's share of the hard ceiling's bucket.
    ceiling_level: f64,
    /// Units charged in addition to the cost while latency is high, minus the refill since.
    surcharge: f64,
    /// Units reserved above estimated costs until the actual costs are known.
    reserved: f64,
    /// Time of the last refill of all levels.
    refilled_at: Timestamp,
    /// Time by which unreported spend must be reported to the counter.
    pub(crate) report_due: Timestamp,
    /// Requests that wait for the answer to the counter call in flight.
    pub(crate) waiting: Vec<RequestId>,
    pub(crate) in_flight: InFlightCount,
}

/// A tenant's attempts in flight from this gatekeeper, and the time of its last admission.
#[derive(Clone, Debug)]
pub(crate) struct InFlightCount {
    attempts: u32,
    last_admitted: Timestamp,
}

impl InFlightCount {
    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Seconds since the tenant's last request was admitted.
    pub(crate) fn seconds_since_admission(&self, now: Timestamp) -> f64 {
        now.seconds_since(self.last_admitted)
    }

    pub(crate) fn record_send(&mut self) {
        self.attempts += 1;
    }

    pub(crate) fn record_end(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
    }
}

impl TenantQuota {
    /// Creates the quota of a new tenant. `uptime` is the time since this gatekeeper started, in seconds.
    pub(crate) fn new(
        settings: &Settings,
        plan: usize,
        gatekeeper_count: f64,
        uptime: f64,
        now: Timestamp,
    ) -> Self {
        let limits = &settings.plans[plan];
        Self {
            plan,
            gatekeeper_count,
            shared: SharedBucket::full(limits, now),
            // An even share of one second's refill, and at least the cost of one request.
            local_share: (limits.rate / gatekeeper_count).max(settings.max_cost),
            // The ceiling's bucket holds only the refill since this gatekeeper started, because a restart
            // must not fill the bucket again.
            ceiling_level: (limits.ceiling_rate * uptime).min(limits.ceiling_burst) / gatekeeper_count,
            surcharge: 0.0,
            reserved: 0.0,
            refilled_at: now,
            report_due: Timestamp::ZERO,
            waiting: Vec::new(),
            in_flight: InFlightCount { attempts: 0, last_admitted: now },
        }
    }

    pub(crate) fn gatekeeper_count(&self) -> f64 {
        self.gatekeeper_count
    }

    /// Refills all levels for the time since the last refill. `gatekeeper_count` is the current number of
    /// gatekeepers that receive the tenant's requests.
    pub(crate) fn refill(&mut self, settings: &Settings, gatekeeper_count: f64, now: Timestamp) {
        self.gatekeeper_count = gatekeeper_count;
        let plan = &settings.plans[self.plan];
        let seconds = now.seconds_since(self.refilled_at);
        self.refilled_at = now;
        let ceiling_share = plan.ceiling_burst / gatekeeper_count;
        self.ceiling_level =
            (self.ceiling_level + plan.ceiling_rate / gatekeeper_count * seconds).min(ceiling_share);
        self.surcharge = (self.surcharge - plan.rate / gatekeeper_count * seconds).max(0.0);
        self.shared.refill(plan, seconds);
        // The local share does not depend on the spend of other gatekeepers.
        let share = 1.0 / gatekeeper_count;
        let local_burst = (plan.burst * share).max(settings.max_cost);
        self.local_share = (self.local_share + plan.rate * share * seconds).min(local_burst);
    }

    /// Units that must be in the bucket for a request to be admitted.
    fn required_units(&self, price: Price) -> f64 {
        self.reserved + self.surcharge + price.charged_cost + price.reserved
    }

    /// The units left after paying the price of a request, with their uncertainty.
    pub(crate) fn headroom(
        &self,
        price: Price,
        counter: CounterState,
        settings: &Settings,
        now: Timestamp,
    ) -> Headroom {
        let required = self.required_units(price);
        if counter == CounterState::Unavailable {
            return Headroom::certain(self.local_share - required);
        }
        if !self.shared.is_synced() {
            return Headroom { units: self.local_share - required, uncertainty: f64::INFINITY };
        }
        let plan = &settings.plans[self.plan];
        // No total can show a higher level than `max_units`. If `max_units` is negative, the rejection is
        // certain without a call to the counter.
        let max_units = self.shared.max_level(plan, now) - required;
        if max_units < 0.0 {
            return Headroom::certain(max_units);
        }
        let seconds = self.shared.seconds_since_sync(now);
        let others_spend_rate =
            self.shared.others_spend_rate().max(plan.rate * (1.0 - 2.0 / self.gatekeeper_count));
        let deviation = (others_spend_rate * seconds * settings.max_cost).sqrt();
        Headroom { units: self.shared.level() - required, uncertainty: UNCERTAINTY_DEVIATIONS * deviation }
    }

    /// Whether a price exceeds the units left in this gatekeeper's share of the bucket.
    pub(crate) fn exceeds_local_share(&self, price: Price) -> bool {
        self.local_share < self.required_units(price)
    }

    /// Whether a cost exceeds the units left in this gatekeeper's share of the hard ceiling. Each share has
    /// the ceiling's rate and burst divided by the number of the tenant's gatekeepers. The cost known at
    /// admission is debited and never refunded, so all gatekeepers together stay below the ceiling whatever
    /// the counter or the other gatekeepers do.
    pub(crate) fn exceeds_ceiling(&self, cost: f64) -> bool {
        self.ceiling_level < cost
    }

    /// Seconds until this gatekeeper's share of the ceiling covers the cost; negative if it already does.
    pub(crate) fn seconds_until_ceiling_covers(&self, cost: f64, plan: &Plan) -> f64 {
        (cost - self.ceiling_level) / plan.ceiling_rate
    }

    /// Charges the price of an admitted request. Only the cost is shared with other gatekeepers; the
    /// surcharge reduces the headroom at this gatekeeper alone.
    pub(crate) fn charge(&mut self, price: Price, counter_is_silent: bool, now: Timestamp) {
        let cost = price.cost;
        self.in_flight.last_admitted = now;
        self.shared.spend(cost);
        // Spend while the counter is silent comes out of this gatekeeper's local share, so other gatekeepers
        // need not learn of it.
        self.shared.exclude_from_report(if counter_is_silent { cost } else { 0.0 });
        self.local_share = (self.local_share - cost).max(-cost);
        self.ceiling_level -= cost;
        self.surcharge += price.charged_cost - cost;
        self.reserved += price.reserved;
    }

    /// Whether a report of spend may wait, because the level is high relative to the unreported spend of all
    /// the tenant's gatekeepers, each assumed to have as much unreported spend as this one.
    pub(crate) fn may_delay_report(&self) -> bool {
        self.shared.unreported().abs() * self.gatekeeper_count < MAX_UNREPORTED_FRACTION * self.shared.level()
    }

    /// Ends the reservation of a request whose cost is settled.
    pub(crate) fn release_reservation(&mut self, reserved: f64) {
        self.reserved = (self.reserved - reserved).max(0.0);
    }

    /// Charges the difference between the actual and the estimated cost, or refunds it.
    pub(crate) fn charge_difference(&mut self, difference: f64) {
        self.shared.spend(difference);
        self.local_share -= difference;
    }

    /// Units in the local shares of all the tenant's gatekeepers, assuming that each holds as much as this
    /// one.
    pub(crate) fn all_local_shares(&self) -> f64 {
        self.local_share * self.gatekeeper_count
    }

    /// Whether no counter call or attempt is in flight and the levels were last refilled at least `span`
    /// microseconds ago.
    pub(crate) fn is_idle_for(&self, span: Micros, now: Timestamp) -> bool {
        !self.shared.is_call_in_flight() && self.in_flight.attempts == 0 && now >= self.refilled_at + span
    }

    /// Whether the tenant's gatekeepers share its bucket through the counter.
    pub(crate) fn is_shared(&self, settings: &Settings) -> bool {
        settings.shared_counter && settings.plans[self.plan].rate > 0.0 && self.gatekeeper_count > 1.0
    }

    /// Whether enough units are unreported to justify a call to the counter.
    pub(crate) fn has_spend_to_report(&self, plan: &Plan) -> bool {
        self.shared.units_to_report(plan) >= NEGLIGIBLE_UNITS
    }

    /// Whether nothing is in flight or unreported, and all limited levels are full.
    pub(crate) fn is_full(&self, settings: &Settings, now: Timestamp) -> bool {
        let is_in_use = self.shared.is_call_in_flight() || self.in_flight.attempts > 0 || self.reserved > 0.0;
        let plan = &settings.plans[self.plan];
        if is_in_use || !self.waiting.is_empty() || self.is_shared(settings) && self.has_spend_to_report(plan)
        {
            return false;
        }
        let mut refilled = self.clone();
        refilled.refill(settings, self.gatekeeper_count, now);
        let has_full_bucket = refilled.surcharge <= 0.0 && refilled.shared.level() >= plan.burst;
        let has_full_ceiling = refilled.ceiling_level >= plan.ceiling_burst / self.gatekeeper_count;
        (has_full_bucket || plan.rate <= 0.0) && (has_full_ceiling || plan.ceiling_rate <= 0.0)
    }

    /// Charges a request that the hot-restart successor admitted; the successor reports its spend to the
    /// counter.
    pub(crate) fn mirror_admission(&mut self, units: f64, max_cost: f64) {
        self.shared.spend(units);
        self.shared.exclude_from_report(units);
        self.local_share = (self.local_share - units).max(-max_cost);
        self.ceiling_level -= units;
    }

    /// Treats all levels as empty until they refill, because some spend of the hot-restart successor is
    /// unknown.
    pub(crate) fn assume_empty(&mut self) {
        self.shared.assume_empty();
        self.local_share = self.local_share.min(0.0);
        self.ceiling_level = self.ceiling_level.min(0.0);
    }

    /// Returns the state for a snapshot. Requests that wait for a total are treated as admitted:
    /// `provisional_spend` is the number of units that was reported for them.
    pub(crate) fn store(&self, provisional_spend: f64) -> StoredQuota {
        let mut stored = StoredQuota {
            plan: self.plan,
            gatekeeper_count: self.gatekeeper_count,
            local_share: self.local_share,
            ceiling_level: self.ceiling_level - provisional_spend,
            surcharge: self.surcharge,
            refilled_at: self.refilled_at,
            report_due: self.report_due,
            last_admitted: self.in_flight.last_admitted,
            ..StoredQuota::default()
        };
        self.shared.store(&mut stored);
        stored
    }

    pub(crate) fn restore(stored: StoredQuota) -> Self {
        Self {
            plan: stored.plan,
            gatekeeper_count: stored.gatekeeper_count,
            shared: SharedBucket::restore(&stored),
            local_share: stored.local_share,
            ceiling_level: stored.ceiling_level,
            surcharge: stored.surcharge,
            reserved: stored.reserved,
            refilled_at: stored.refilled_at,
            report_due: stored.report_due,
            waiting: stored.waiting,
            in_flight: InFlightCount { attempts: stored.in_flight, last_admitted: stored.last_admitted },
        }
    }
}

#[cfg(test)]
mod tests;
