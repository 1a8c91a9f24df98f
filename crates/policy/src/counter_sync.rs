//! Synchronisation with the shared quota counter: what is reported when, and which calls are made.

use crate::action::Action;
use crate::bucket_estimator::{CounterAnswer, EPOCH, count_name};
use crate::event::Outcome;
use crate::ids::TenantId;
use crate::state::{CountTotal, CounterHealth};
use crate::state_machine::{Actions, Policy};
use crate::time::{Micros, SECOND};

/// us; for how long spend may go unreported while a bucket is well filled.
pub(crate) const REPORT_DELAY: Micros = 500_000;
/// Fewer units are not reported: totals have seven digits.
pub(crate) const NEGLIGIBLE_UNITS: f64 = 1e-3;

impl Policy {
    /// Makes sure that spend of this size is reported after a delay at the latest.
    pub(crate) fn schedule_counter_sync(&mut self, tenant: TenantId, units: f64, delay: Micros) {
        if units.abs() <= NEGLIGIBLE_UNITS {
            return;
        }
        if let Some(bucket) = self.tenants.get_mut(&tenant) {
            let due = self.now + delay;
            let is_first = self.unreported_tenants.insert(tenant);
            bucket.report_due = if is_first { due } else { bucket.report_due.min(due) };
        }
    }

    /// Adds unreported spend to the tenant's count and reads its total: one call in flight for a tenant, rate
    /// limited over all tenants. `awaited`: a request waits for it. Returns whether a call is in flight.
    pub(crate) fn call_counter(&mut self, tenant: TenantId, awaited: bool, out: &mut Actions) -> bool {
        let now = self.now;
        let Some(bucket) = self.tenants.get(&tenant) else { return false };
        let plan = &self.settings.plans[bucket.plan];
        let is_shared = self.settings.shared_counter && plan.rate > 0.0 && bucket.gatekeepers > 1.0;
        let nothing_to_report = !awaited && bucket.units_to_report(plan) < NEGLIGIBLE_UNITS;
        if !is_shared || bucket.call_in_flight.is_some() || nothing_to_report {
            return bucket.call_in_flight.is_some();
        }
        let (rate, burst) = (plan.rate, plan.burst);
        if !self.take_call_token(awaited) {
            return false;
        }
        let (name, age) = count_name(tenant, rate, self.start_times.fleet_time(now));
        let last_call_answered = self.counter.failures == 0;
        let refilled = rate * age as f64 / SECOND;
        let Some(bucket) = self.tenants.get_mut(&tenant) else { return false };
        let units = bucket.start_call(burst, name, refilled, now, last_call_answered);
        self.unreported_tenants.remove(&tenant);
        self.counter_calls.insert(name, tenant);
        out.push(Action::CounterAdd { name, units, ttl: 2 * EPOCH });
        true
    }

    /// Calls that nobody waits for leave one token to those that somebody waits for.
    fn take_call_token(&mut self, awaited: bool) -> bool {
        let counter = &mut self.counter;
        counter.earn_call_tokens(&self.settings, self.now);
        let required = if awaited { 1.0 } else { 2.0 };
        let waits_for_trial = counter.silent_since.is_some() && self.now < counter.next_trial;
        if counter.call_tokens < required || waits_for_trial {
            return false;
        }
        let pause = CounterHealth::trial_pause(&self.settings);
        counter.next_trial = self.now + pause + self.rng.u64(0..pause);
        counter.call_tokens -= 1.0;
        true
    }

    pub(crate) fn on_counter_reply(&mut self, name: u64, total: f64, outcome: Outcome, out: &mut Actions) {
        let tenant = self.counter_calls.remove(&name).unwrap_or_default();
        let Some((plan, gatekeepers)) = self.tenants.get(&tenant).map(|b| (b.plan, b.gatekeepers)) else {
            return;
        };
        self.refill(tenant, plan, gatekeepers);
        let Some(bucket) = self.tenants.get_mut(&tenant) else { return };
        let Some(added) = bucket.call_in_flight.take() else { return };
        match outcome {
            Outcome::Ok if total.is_finite() => self.apply_total(tenant, CountTotal { name, total }, added),
            // Nothing was added: it still has to be reported.
            Outcome::Rejected | Outcome::ConnectFailed => bucket.unreported += added - bucket.written_off,
            // It may have been added: reporting it again could count it twice.
            _ => bucket.written_off = 0.0,
        }
        let Some(bucket) = self.tenants.get_mut(&tenant) else { return };
        // Added, with a total that cannot be read: who waits for it still needs it.
        let needs_total = outcome == Outcome::Error && !bucket.waiting.is_empty();
        if needs_total && self.call_counter(tenant, true, out) {
            return;
        }
        let Some(bucket) = self.tenants.get_mut(&tenant) else { return };
        let waiting = std::mem::take(&mut bucket.waiting);
        let units = bucket.units_to_report(&self.settings.plans[bucket.plan]);
        self.schedule_counter_sync(tenant, units, 0);
        for id in waiting {
            self.decide(id, out);
        }
    }

    fn apply_total(&mut self, tenant: TenantId, total: CountTotal, added: f64) {
        let fleet_time = self.start_times.fleet_time(self.now);
        let Some(bucket) = self.tenants.get_mut(&tenant) else { return };
        let plan = &self.settings.plans[bucket.plan];
        let (current_name, age) = count_name(tenant, plan.rate, fleet_time);
        let (previous_name, _) = count_name(tenant, plan.rate, fleet_time.saturating_sub(EPOCH));
        // The name may have changed while the call was in flight.
        let age = match total.name {
            name if name == current_name => age,
            name if name == previous_name => age + EPOCH,
            // So has the rate or the clock: nobody looks at that count, and what it was told has still to be
            // reported.
            _ => {
                bucket.unreported += added - bucket.written_off;
                bucket.written_off = 0.0;
                return;
            }
        };
        let answer = CounterAnswer {
            total,
            added,
            refilled: plan.rate * age as f64 / SECOND,
            after_silence: bucket.synced_at < self.counter.recovered_at,
            lost_total_change: -2.0 * self.settings.max_cost - plan.burst,
        };
        bucket.apply_total(plan, answer, self.now);
    }
}
