//! The quota of one tenant: its shared bucket, this gatekeeper's own shares of bucket and ceiling, and what
//! is reserved in them.

use crate::headroom::Headroom;
use crate::ids::RequestId;
use crate::request::Price;
use crate::settings::{Plan, Settings};
use crate::shared_bucket::SharedBucket;
use crate::stored::StoredQuota;
use crate::time::{Micros, Timestamp};

/// Uncertain units that count, in standard deviations.
const UNCERTAINTY_DEVIATIONS: f64 = 2.0;
/// Part of a bucket's level that the tenant's gatekeepers may leave unreported together.
const UNREPORTED_PART: f64 = 0.5;

/// Whether the shared counter can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CounterState {
    /// It answers.
    Available,
    /// There is none, or it does not answer: quotas are enforced by local shares.
    Unavailable,
}

/// The quota of one tenant as this gatekeeper knows it.
#[derive(Clone, Debug)]
pub(crate) struct TenantQuota {
    /// Number of its plan.
    pub(crate) plan: usize,
    /// How many gatekeepers its requests come through.
    gatekeepers: f64,
    pub(crate) shared: SharedBucket,
    /// Units in this gatekeeper's own share of the bucket.
    local_share: f64,
    /// Units in this gatekeeper's share of the hard ceiling.
    ceiling_level: f64,
    /// Units charged above the cost while latency is high.
    surcharge: f64,
    /// Units reserved above the estimated costs until these are settled.
    reserved: f64,
    /// When the levels were last brought up to date.
    refilled_at: Timestamp,
    /// When unreported spend is to be reported.
    pub(crate) report_due: Timestamp,
    /// Requests that wait for the call in flight.
    pub(crate) waiting: Vec<RequestId>,
    pub(crate) in_flight: InFlightCount,
}

/// Attempts of a tenant in flight here, and when the last request was admitted.
#[derive(Clone, Debug)]
pub(crate) struct InFlightCount {
    attempts: u32,
    last_admitted: Timestamp,
}

impl InFlightCount {
    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Seconds since a request was admitted.
    pub(crate) fn idle_seconds(&self, now: Timestamp) -> f64 {
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
    /// The quota of a new tenant. `age`: seconds since this gatekeeper started.
    pub(crate) fn new(settings: &Settings, plan: usize, gatekeepers: f64, age: f64, now: Timestamp) -> Self {
        let quota = &settings.plans[plan];
        Self {
            plan,
            gatekeepers,
            shared: SharedBucket::full(quota, now),
            // Its even share of a second's quota, but one request at least.
            local_share: (quota.rate / gatekeepers).max(settings.max_cost),
            // Only what refilled since this gatekeeper's start: a restart must not refill the ceiling's
            // bucket.
            ceiling_level: (quota.ceiling_rate * age).min(quota.ceiling_burst) / gatekeepers,
            surcharge: 0.0,
            reserved: 0.0,
            refilled_at: now,
            report_due: Timestamp::ZERO,
            waiting: Vec::new(),
            in_flight: InFlightCount { attempts: 0, last_admitted: now },
        }
    }

    pub(crate) fn gatekeepers(&self) -> f64 {
        self.gatekeepers
    }

    /// Brings the levels up to now. `gatekeepers`: how many its requests come through now.
    pub(crate) fn refill(&mut self, settings: &Settings, gatekeepers: f64, now: Timestamp) {
        self.gatekeepers = gatekeepers;
        let plan = &settings.plans[self.plan];
        let seconds = now.seconds_since(self.refilled_at);
        self.refilled_at = now;
        let ceiling_share = plan.ceiling_burst / gatekeepers;
        self.ceiling_level =
            (self.ceiling_level + plan.ceiling_rate / gatekeepers * seconds).min(ceiling_share);
        self.surcharge = (self.surcharge - plan.rate / gatekeepers * seconds).max(0.0);
        self.shared.refill(plan, seconds);
        // The local share may be spent whatever the others do.
        let share = 1.0 / gatekeepers;
        let local_burst = (plan.burst * share).max(settings.max_cost);
        self.local_share = (self.local_share + plan.rate * share * seconds).min(local_burst);
    }

    /// Units that must be available for a request to be admitted.
    fn required(&self, price: Price) -> f64 {
        self.reserved + self.surcharge + price.charged_cost + price.reserved
    }

    /// The units that are left above the price of a request, and how certain that is.
    pub(crate) fn headroom(
        &self,
        price: Price,
        counter: CounterState,
        settings: &Settings,
        now: Timestamp,
    ) -> Headroom {
        let required = self.required(price);
        if counter == CounterState::Unavailable {
            return Headroom::certain(self.local_share - required);
        }
        if !self.shared.is_synced() {
            return Headroom { units: self.local_share - required, uncertainty: f64::INFINITY };
        }
        let plan = &settings.plans[self.plan];
        // No total can show more than this: where that is too little, none is read.
        let max_units = self.shared.max_level(plan, now) - required;
        if max_units < 0.0 {
            return Headroom::certain(max_units);
        }
        let unseen = self.shared.seconds_since_sync(now);
        let others_rate = self.shared.others_rate().max(plan.rate * (1.0 - 2.0 / self.gatekeepers));
        let deviation = (others_rate * unseen * settings.max_cost).sqrt();
        Headroom { units: self.shared.level() - required, uncertainty: UNCERTAINTY_DEVIATIONS * deviation }
    }

    /// Whether a price is more than this gatekeeper's own share of the bucket.
    pub(crate) fn exceeds_local_share(&self, price: Price) -> bool {
        self.local_share < self.required(price)
    }

    /// Whether a cost is more than this gatekeeper's share of the hard ceiling. Each gatekeeper owns the
    /// ceiling's rate and burst over the number of the tenant's gatekeepers, debited by the reported units at
    /// the first attempt and never refunded: all together keep below it whatever the counter or the others
    /// do.
    pub(crate) fn exceeds_ceiling(&self, cost: f64) -> bool {
        self.ceiling_level < cost
    }

    /// Seconds until this gatekeeper's share of the ceiling covers the cost; negative if it does.
    pub(crate) fn seconds_until_ceiling_covers(&self, cost: f64, plan: &Plan) -> f64 {
        (cost - self.ceiling_level) / plan.ceiling_rate
    }

    /// Takes the units at admission. The surcharge empties this gatekeeper's bucket only: the actual spend is
    /// shared.
    pub(crate) fn charge(&mut self, price: Price, counter_is_silent: bool, now: Timestamp) {
        let cost = price.cost;
        self.in_flight.last_admitted = now;
        self.shared.spend(cost);
        // Spent while the counter is silent: out of this gatekeeper's own share, so no other has to learn of
        // it.
        self.shared.forgo_report(if counter_is_silent { cost } else { 0.0 });
        self.local_share = (self.local_share - cost).max(-cost);
        self.ceiling_level -= cost;
        self.surcharge += price.charged_cost - cost;
        self.reserved += price.reserved;
    }

    /// Whether others need not learn of each unit at once, since much is left.
    pub(crate) fn may_delay_report(&self) -> bool {
        self.shared.unreported().abs() * self.gatekeepers < UNREPORTED_PART * self.shared.level()
    }

    /// Ends the reservation of a request whose cost is settled.
    pub(crate) fn release(&mut self, reserved: f64) {
        self.reserved = (self.reserved - reserved).max(0.0);
    }

    /// Charges the difference between the actual and the estimated cost, or refunds it.
    pub(crate) fn settle(&mut self, difference: f64) {
        self.shared.spend(difference);
        self.local_share -= difference;
    }

    /// Units in the local shares of all gatekeepers, if all are as full as this one.
    pub(crate) fn all_local_shares(&self) -> f64 {
        self.local_share * self.gatekeepers
    }

    /// Whether no call or attempt is in flight, and its levels were not brought up to date for this long.
    pub(crate) fn is_idle_for(&self, span: Micros, now: Timestamp) -> bool {
        !self.shared.is_call_in_flight() && self.in_flight.attempts == 0 && now >= self.refilled_at + span
    }

    /// Another process has admitted a request, and reports its spend.
    pub(crate) fn mirror_admission(&mut self, units: f64, max_cost: f64) {
        self.shared.spend(units);
        self.shared.forgo_report(units);
        self.local_share = (self.local_share - units).max(-max_cost);
        self.ceiling_level -= units;
    }

    /// Some spend of another process is not known: all levels count as empty until they refill.
    pub(crate) fn assume_empty(&mut self) {
        self.shared.assume_empty();
        self.local_share = self.local_share.min(0.0);
        self.ceiling_level = self.ceiling_level.min(0.0);
    }

    /// The state for a snapshot. Requests that wait for a total count as admitted: `provisional_spend` is
    /// what was reported for them.
    pub(crate) fn store(&self, provisional_spend: f64) -> StoredQuota {
        let mut stored = StoredQuota {
            plan: self.plan,
            gatekeepers: self.gatekeepers,
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
            gatekeepers: stored.gatekeepers,
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
