//! Calls to the shared quota counter: decides which calls are made, and applies their answers.

use crate::action::Action;
use crate::count_total::CountTotal;
use crate::counter_health::Urgency;
use crate::event::Outcome;
use crate::ids::TenantId;
use crate::shared_bucket::{CountName, CounterAnswer, CounterCall, EPOCH_DURATION, FailedCall, refilled};
use crate::state_machine::{Actions, Policy};

impl Policy {
    /// Calls the counter, if needed and allowed, to add the tenant's unreported spend to the tenant's count
    /// and to read the total of the count. A tenant has at most one call in flight, and calls are rate
    /// limited over all tenants. Returns whether a call is in flight.
    pub(crate) fn call_counter(&mut self, tenant: TenantId, urgency: Urgency, out: &mut Actions) -> bool {
        let now = self.now;
        let Some(quota) = self.tenants.get_mut(&tenant) else { return false };
        if quota.shared.is_call_in_flight() {
            return true;
        }
        let plan = &self.settings.plans[quota.plan];
        let is_call_needed = urgency == Urgency::Immediate || quota.has_spend_to_report(plan);
        if !quota.is_shared(&self.settings) || !is_call_needed {
            return false;
        }
        if !self.counter.health.take_call_token(urgency, &self.settings, &mut self.rng, now) {
            return false;
        }
        let count = CountName::of(tenant, plan.rate, self.backends.fleet_time(now));
        let call = CounterCall {
            name: count.name,
            refilled: count.refilled(plan.rate),
            last_call_answered: self.counter.health.last_call_answered(),
        };
        let units = quota.shared.start_call(plan, call, now);
        self.counter.call_started(tenant, count.name);
        out.push(Action::CounterAdd { name: count.name, units, ttl: 2 * EPOCH_DURATION });
        true
    }

    pub(crate) fn on_counter_reply(&mut self, name: u64, total: f64, outcome: Outcome, out: &mut Actions) {
        let Some(tenant) = self.counter.call_ended(name) else { return };
        let Some(quota) = self.tenants.get_mut(&tenant) else { return };
        quota.refill(&self.settings, quota.gatekeeper_count(), self.now);
        let Some(added) = quota.shared.take_call() else { return };
        match outcome {
            Outcome::Ok if total.is_finite() => self.apply_total(tenant, CountTotal { name, total }, added),
            Outcome::Rejected | Outcome::ConnectFailed => {
                quota.shared.call_failed(added, FailedCall::NotAdded);
            }
            _ => quota.shared.call_failed(added, FailedCall::PossiblyAdded),
        }
        // The counter added the units, but its answer is unreadable. Waiting requests still need the total of
        // the count.
        let needs_total = outcome == Outcome::Error && self.has_waiting_requests(tenant);
        if needs_total && self.call_counter(tenant, Urgency::Immediate, out) {
            return;
        }
        let Some(quota) = self.tenants.get_mut(&tenant) else { return };
        let waiting = std::mem::take(&mut quota.waiting);
        let units = quota.shared.units_to_report(&self.settings.plans[quota.plan]);
        self.counter.schedule(tenant, quota, units, 0, self.now);
        for id in waiting {
            self.decide_admission(id, out);
        }
    }

    /// Whether a request waits for the total of this tenant's count.
    fn has_waiting_requests(&self, tenant: TenantId) -> bool {
        self.tenants.get(&tenant).is_some_and(|quota| !quota.waiting.is_empty())
    }

    fn apply_total(&mut self, tenant: TenantId, total: CountTotal, added: f64) {
        let fleet_time = self.backends.fleet_time(self.now);
        let Some(quota) = self.tenants.get_mut(&tenant) else { return };
        let plan = &self.settings.plans[quota.plan];
        let current = CountName::of(tenant, plan.rate, fleet_time);
        let previous = CountName::of(tenant, plan.rate, fleet_time.saturating_sub(EPOCH_DURATION));
        // A new epoch may have begun while the call was in flight; the tenant's count then has a new name.
        let age = match total.name {
            name if name == current.name => current.epoch_age,
            name if name == previous.name => current.epoch_age + EPOCH_DURATION,
            // The rate or the clock has changed, so no gatekeeper reads the count with the name of this call
            // any more.
            _ => return quota.shared.call_misdirected(added),
        };
        let answer = CounterAnswer {
            total,
            added,
            refilled: refilled(plan.rate, age),
            was_counter_silent: self.counter.health.has_recovered_since(quota.shared.synced_at()),
            total_drop_threshold: -2.0 * self.settings.max_cost - plan.burst,
            local_shares: quota.all_local_shares(),
        };
        quota.shared.apply_total(plan, answer, self.now);
    }
}
