//! Admission: decides whether a request is forwarded, rejected, or waits for the current total of its
//! tenant's spend from the shared counter.

use crate::action::{Action, RejectReason};
use crate::concurrency_limit::Demand;
use crate::counter_health::Urgency;
use crate::counter_sync::REPORT_DELAY;
use crate::ids::{BackendId, RequestId, TenantId};
use crate::request::{Attempt, Request};
use crate::selection::LoadBalancer;
use crate::state_machine::{Actions, Policy};
use crate::surcharge::surcharge_factor;
use crate::tenant_quota::TenantQuota;
use crate::time::{Micros, SECOND};
use crate::timer_token::deadline_token;
use crate::timers::POOL_UPDATE_INTERVAL;

/// Fraction of a cap on attempts in flight that all gatekeepers together aim for. An attempt above the cap
/// uses backend capacity like any other but earns nothing. With random arrivals, the number of attempts sent
/// multiplied by the probability of being below the cap is largest near half of the cap.
const IN_FLIGHT_TARGET_FRACTION: f64 = 0.55;

/// Result of an admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    Forwarded,
    Rejected,
}

impl Policy {
    /// Decides on a new request at once if the level of the tenant's bucket is certain. If a current total
    /// could change the decision, which is common with many gatekeepers, the request waits for the answer to
    /// the tenant's counter call; a tenant has at most one call in flight.
    pub(crate) fn on_request(
        &mut self,
        id: RequestId,
        mut request: Request,
        gatekeepers: f64,
        out: &mut Actions,
    ) {
        if self.requests.contains_key(&id) {
            return;
        }
        let tenant = request.tenant;
        if !self.has_room_for(tenant) {
            let retry_after = POOL_UPDATE_INTERVAL.min(self.settings.max_retry_after);
            out.push(Action::Reject { id, retry_after, reason: RejectReason::NoCapacity });
            return;
        }
        self.set_price(&mut request);
        let counter = self.counter_state();
        let (now, has_capacity) = (self.now, self.has_capacity(&request));
        self.refilled_quota(tenant, request.plan, gatekeepers);
        let Some(quota) = self.tenants.get_mut(&tenant) else { return };
        let headroom = quota.headroom(request.price, counter, &self.settings, now);
        // The cost of a request that looks affordable is reported as spent with the call, so that no other
        // gatekeeper spends these units meanwhile. Without capacity the cost is not reported, because the
        // request will be rejected and returning the units would take a second call.
        let is_affordable = has_capacity && headroom.units >= 0.0;
        request.provisional_spend = if is_affordable { request.price.cost } else { 0.0 };
        quota.shared.spend(request.provisional_spend);
        let time_left = (request.deadline - now).saturating_sub(2 * self.settings.tick);
        self.requests.insert(id, request);
        let may_wait = has_capacity && headroom.total_may_change_decision();
        if may_wait && self.call_counter(tenant, Urgency::Immediate, out) {
            self.tenants.entry(tenant).and_modify(|quota| quota.waiting.push(id));
        } else if self.decide_admission(id, out) == Decision::Rejected {
            return;
        }
        out.push(Action::Timer { after: time_left.max(1), token: deadline_token(id) });
    }

    /// Sets the surcharge and the reservation of a request. Under a ceiling, a request with an estimated cost
    /// reserves the largest cost of its class until its actual cost is known.
    fn set_price(&self, request: &mut Request) {
        let price = &mut request.price;
        let has_ceiling = self.settings.plans[request.plan].ceiling_rate > 0.0;
        if self.settings.estimated_costs && has_ceiling {
            price.reserved = (self.class_stats[request.class].largest_cost() - price.cost).max(0.0);
        }
        price.charged_cost =
            price.cost * surcharge_factor(&self.settings, request.class, self.latency_ratio());
    }

    /// Rejects a request that exceeds its tenant's quota or ceiling or the capacity of the backends, and
    /// forwards it otherwise.
    pub(crate) fn decide_admission(&mut self, id: RequestId, out: &mut Actions) -> Decision {
        let Some(mut request) = self.requests.remove(&id) else { return Decision::Rejected };
        let tenant = request.tenant;
        let provisional_spend = std::mem::take(&mut request.provisional_spend);
        self.tenants.entry(tenant).and_modify(|quota| quota.shared.spend(-provisional_spend));
        let choice = match self.reject_reason(&self.tenants[&tenant], &request) {
            Some(reason) => Err(reason),
            None => self.select_backend(&request).ok_or(RejectReason::NoBackend),
        };
        let backend = match choice {
            Ok(backend) => backend,
            Err(reason) => {
                out.push(Action::Reject { id, retry_after: self.retry_after(&request), reason });
                self.schedule_report(tenant, provisional_spend, 0);
                return Decision::Rejected;
            }
        };
        self.charge_request(&request);
        self.requests.insert(id, request);
        self.retry_budget.earn_tokens();
        self.send(id, backend, out);
        if self.tenants[&tenant].report_due <= self.now {
            self.call_counter(tenant, Urgency::Deferrable, out);
        }
        Decision::Forwarded
    }

    /// Returns why a request is rejected; `None` if it may be forwarded. While the level of the shared bucket
    /// is uncertain, the local share decides, so that gatekeepers do not all spend the same last units.
    fn reject_reason(&self, quota: &TenantQuota, request: &Request) -> Option<RejectReason> {
        let plan = &self.settings.plans[request.plan];
        let headroom = quota.headroom(request.price, self.counter_state(), &self.settings, self.now);
        if plan.max_in_flight > 0 && !self.may_add_in_flight(quota, request, f64::from(plan.max_in_flight)) {
            return Some(RejectReason::TooManyInFlight);
        }
        if plan.rate > 0.0 && headroom.is_uncertain() && quota.exceeds_local_share(request.price) {
            return Some(RejectReason::LocalShareExhausted);
        }
        if plan.rate > 0.0 && !headroom.is_uncertain() && headroom.units < 0.0 {
            return Some(RejectReason::QuotaExhausted);
        }
        if plan.ceiling_rate > 0.0 && quota.exceeds_ceiling(request.price.cost) {
            return Some(RejectReason::CeilingReached);
        }
        (!self.has_capacity(request)).then_some(RejectReason::NoCapacity)
    }

    /// Whether one more attempt probably stays below the tenant's cap on attempts in flight. If each
    /// gatekeeper applied the cap to its own attempts alone, the sum could be many times the cap. So the
    /// attempts of the other gatekeepers are estimated from their spend rate and the mean duration of an
    /// attempt. Without a total that shows their rate, each gatekeeper takes its even share: one attempt at a
    /// time, with a minimum interval between admissions.
    fn may_add_in_flight(&self, quota: &TenantQuota, request: &Request, cap: f64) -> bool {
        let means = &self.pool_of(request.class).means;
        let target = IN_FLIGHT_TARGET_FRACTION * cap;
        let attempt_seconds = means.attempt_seconds();
        let in_flight = &quota.in_flight;
        if !quota.shared.is_synced() || self.counter.health.is_silent() {
            let is_spaced = in_flight.seconds_since_admission(self.now)
                >= attempt_seconds * quota.gatekeeper_count() / target;
            return in_flight.attempts() == 0 && is_spaced;
        }
        let others = quota.shared.others_spend_rate() * attempt_seconds / means.cost().max(1.0);
        f64::from(in_flight.attempts()) + others < target
    }

    /// Charges an admitted request to its tenant's quota and schedules the report to the counter.
    fn charge_request(&mut self, request: &Request) {
        let (now, counter_is_silent) = (self.now, self.counter.health.is_silent());
        let service = self.service_of(request.class);
        let Some(quota) = self.tenants.get_mut(&request.tenant) else { return };
        self.pools[service].means.record_cost(request.price.cost);
        quota.charge(request.price, counter_is_silent, now);
        let delay = if quota.may_delay_report() { REPORT_DELAY } else { 0 };
        self.counter.schedule(request.tenant, quota, request.price.cost, delay, now);
    }

    /// Corrects the charge of a request when its answer states the actual cost in units: charges or refunds
    /// the difference from the estimate and ends the reservation.
    pub(crate) fn settle_cost(&mut self, id: RequestId, units: f64) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.settled) else { return };
        request.settled = true;
        let (tenant, difference) = (request.tenant, units - request.price.cost);
        let Some(quota) = self.tenants.get_mut(&tenant) else { return };
        quota.release_reservation(request.price.reserved);
        if self.settings.estimated_costs && units.is_finite() && units > 0.0 {
            quota.charge_difference(difference);
            self.class_stats[request.class].record_cost(units, self.settings.max_cost);
            // The difference is small: it is reported with the next spend, or after a second at the latest.
            self.counter.schedule(tenant, quota, difference, SECOND as Micros, self.now);
        }
    }

    /// Microseconds after which the tenant's bucket and ceiling hold the cost and capacity is free: at least
    /// a tick, at most the longest Retry-After that the settings allow.
    pub(crate) fn retry_after(&self, request: &Request) -> Micros {
        let (quota, plan) = (&self.tenants[&request.tenant], &self.settings.plans[request.plan]);
        let headroom = quota.headroom(request.price, self.counter_state(), &self.settings, self.now);
        let bucket = -headroom.units / plan.rate;
        let ceiling = quota.seconds_until_ceiling_covers(request.price.cost, plan);
        // Another of the tenant's gatekeepers may have capacity for the retry. A lack of capacity here
        // lengthens the Retry-After only by the lateness of answers.
        let pool = self.pool_of(request.class);
        let answer_delay = pool.concurrency.lateness() * pool.means.latency() / SECOND;
        let capacity = if self.has_capacity(request) { 0.0 } else { answer_delay };
        let waits = [bucket, ceiling, capacity].into_iter().filter(|wait| wait.is_finite());
        let wait = (waits.fold(0.0, f64::max) * SECOND) as Micros;
        wait.max(self.settings.tick).min(self.settings.max_retry_after)
    }

    /// Whether the concurrency limit of the request's service admits the request.
    pub(crate) fn has_capacity(&self, request: &Request) -> bool {
        let pool = self.pool_of(request.class);
        let plan = &self.settings.plans[request.plan];
        let weight = self.settings.classes[request.class].priority_weight * plan.priority_factor;
        let demand = Demand {
            in_flight: self.attempts_in_flight(self.service_of(request.class)),
            relative_weight: weight / self.max_weight.max(1e-9),
            mean_latency: pool.means.latency(),
        };
        pool.concurrency.admits(demand, self.now)
    }

    /// Counts the attempts in flight at the backends of a service. Attempts at ejected backends are left out,
    /// because they use no capacity that other requests could have; in panic mode ejections are ignored.
    fn attempts_in_flight(&self, service: usize) -> f64 {
        let in_panic_mode = self.pools[service].order.in_panic_mode();
        let uses_capacity = |request: &Request, attempt: &Attempt| {
            let backend = self.backends.get(attempt.backend);
            let is_ejected_or_gone = backend.is_none_or(|b| b.health.ejected_until(request.class).is_some());
            attempt.is_in_flight() && (in_panic_mode || !is_ejected_or_gone)
        };
        let in_flight =
            |request: &Request| request.attempts.iter().filter(|a| uses_capacity(request, a)).count();
        let is_served_here = |request: &&Request| self.service_of(request.class) == service;
        self.requests.values().filter(is_served_here).map(in_flight).sum::<usize>() as f64
    }

    /// Selects a backend for an attempt of a request; `None` if no backend is eligible.
    pub(crate) fn select_backend(&mut self, request: &Request) -> Option<BackendId> {
        let pool = &self.pools[usize::from(self.settings.classes[request.class].service)];
        let (settings, backends, now) = (&self.settings, &self.backends, self.now);
        LoadBalancer { settings, backends, pool, now }.select(request, &mut self.rng)
    }

    /// Schedules a report of a tenant's spend to the counter, due in `delay` microseconds at the latest.
    pub(crate) fn schedule_report(&mut self, tenant: TenantId, units: f64, delay: Micros) {
        if let Some(quota) = self.tenants.get_mut(&tenant) {
            self.counter.schedule(tenant, quota, units, delay, self.now);
        }
    }
}
