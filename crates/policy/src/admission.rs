//! Admission: whether a request is forwarded, rejected, or waits for a fresh total of its tenant's count.

use crate::action::{Action, RejectReason};
use crate::ids::RequestId;
use crate::state::{Request, TenantBucket};
use crate::state_machine::{Actions, Policy};
use crate::time::{Micros, SECOND};
use crate::timer_token::deadline_token;

/// Part of a cap on attempts in flight that all gatekeepers together aim at: what goes out above the cap
/// takes capacity there too and earns nothing. With random arrivals, sends x P(below the cap) is largest near
/// half of it.
const IN_FLIGHT_PART: f64 = 0.55;

impl Policy {
    /// Decides at once where the bucket is certain. Where a fresh total could change the decision, as with
    /// many gatekeepers it often could, the request waits for the one call that its tenant has in flight.
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
        self.activate_pool_of(request.class);
        self.refill(tenant, request.plan, gatekeepers);
        self.price(&mut request);
        let headroom = self.headroom(&self.tenants[&tenant], &request);
        // What looks affordable is reported as spent with the call, lest another gatekeeper spends it
        // meanwhile, but not what has no capacity: its units would be given back with a second call.
        let capacity = self.has_capacity(&request);
        request.provisional_spend = if capacity && headroom.units >= 0.0 { request.cost } else { 0.0 };
        let latest = (request.deadline - self.now).saturating_sub(2 * self.settings.tick);
        let provisional_spend = request.provisional_spend;
        self.requests.insert(id, request);
        self.tenants.entry(tenant).and_modify(|bucket| bucket.spend(provisional_spend));
        if capacity && headroom.may_change() && self.call_counter(tenant, true, out) {
            self.tenants.entry(tenant).and_modify(|bucket| bucket.waiting.push(id));
        } else if !self.decide(id, out) {
            return;
        }
        out.push(Action::Timer { after: latest.max(1), token: deadline_token(id) });
    }

    /// Under a ceiling, the largest cost of its class is reserved for a request until its cost is settled.
    fn price(&self, request: &mut Request) {
        let has_ceiling = self.settings.plans[request.plan].ceiling_rate > 0.0;
        if self.settings.estimated_costs && has_ceiling {
            request.reserved = (self.class_stats[request.class].largest_cost - request.cost).max(0.0);
        }
        request.charged_cost = request.cost * self.surcharge_factor(request.class);
    }

    /// Rejects what its bucket, its ceiling or the backends have no room for, and forwards the rest.
    pub(crate) fn decide(&mut self, id: RequestId, out: &mut Actions) -> bool {
        let Some(mut request) = self.requests.remove(&id) else { return false };
        self.activate_pool_of(request.class);
        let tenant = request.tenant;
        let provisional_spend = std::mem::take(&mut request.provisional_spend);
        self.tenants.entry(tenant).and_modify(|bucket| bucket.spend(-provisional_spend));
        let choice = match self.reject_reason(&self.tenants[&tenant], &request) {
            Some(reason) => Err(reason),
            None => self.select_backend(&request, false).ok_or(RejectReason::NoBackend),
        };
        let backend = match choice {
            Ok(backend) => backend,
            Err(reason) => {
                out.push(Action::Reject { id, retry_after: self.retry_after(&request), reason });
                self.schedule_counter_sync(tenant, provisional_spend, 0);
                return false;
            }
        };
        self.charge(&request);
        self.requests.insert(id, request);
        self.earn_retry_budget();
        self.send(id, backend, out);
        if self.tenants[&tenant].report_due <= self.now {
            self.call_counter(tenant, false, out);
        }
        true
    }

    /// Why a request is rejected, if it is. Where the shared bucket is uncertain the local share decides,
    /// lest all gatekeepers spend the same last units. Each gatekeeper owns the ceiling's rate and burst over
    /// the number of the tenant's gatekeepers, debited by the reported units at first send and never
    /// refunded: all together keep under it whatever the counter or the others do.
    fn reject_reason(&self, bucket: &TenantBucket, request: &Request) -> Option<RejectReason> {
        let plan = &self.settings.plans[request.plan];
        let headroom = self.headroom(bucket, request);
        if plan.max_in_flight > 0 && !self.may_add_in_flight(bucket, f64::from(plan.max_in_flight)) {
            return Some(RejectReason::TooManyInFlight);
        }
        if plan.rate > 0.0 && headroom.is_uncertain() && bucket.local_share < bucket.required(request) {
            return Some(RejectReason::LocalShareExhausted);
        }
        if plan.rate > 0.0 && !headroom.is_uncertain() && headroom.units < 0.0 {
            return Some(RejectReason::QuotaExhausted);
        }
        if plan.ceiling_rate > 0.0 && bucket.ceiling_level < request.cost {
            return Some(RejectReason::CeilingReached);
        }
        (!self.has_capacity(request)).then_some(RejectReason::NoCapacity)
    }

    /// Whether a further attempt is likely below the cap on attempts in flight. A cap for each gatekeeper
    /// would be many times the cap, so the others' are estimated from their rate and the mean time of an
    /// attempt; with no total to tell their rate, each gatekeeper has its even share, spaced out.
    fn may_add_in_flight(&self, bucket: &TenantBucket, cap: f64) -> bool {
        let usable = IN_FLIGHT_PART * cap;
        let attempt_time = self.pool.mean_attempt_time / SECOND;
        if bucket.last_total.is_none() || self.counter.silent_since.is_some() {
            let idle = self.now.seconds_since(bucket.last_admitted);
            return bucket.in_flight == 0 && idle >= attempt_time * bucket.gatekeepers / usable;
        }
        let others = bucket.others_rate * attempt_time / self.pool.mean_cost.max(1.0);
        f64::from(bucket.in_flight) + others < usable
    }

    /// When the tenant's bucket and ceiling hold the cost and capacity is free, within what clients honour.
    pub(crate) fn retry_after(&self, request: &Request) -> Micros {
        let (bucket, plan) = (&self.tenants[&request.tenant], &self.settings.plans[request.plan]);
        let quota = -self.headroom(bucket, request).units / plan.rate;
        let ceiling = (request.cost - bucket.ceiling_level) / plan.ceiling_rate;
        // A retry finds capacity at any of the tenant's gatekeepers, so only the lag of late answers counts.
        let lag = (self.pool.objective_part - Self::EARLY_PART).max(0.0) * self.pool.mean_latency / SECOND;
        let capacity = if self.has_capacity(request) { 0.0 } else { lag };
        let waits = [quota, ceiling, capacity].into_iter().filter(|wait| wait.is_finite());
        let wait = (waits.fold(0.0, f64::max) * SECOND) as Micros;
        wait.max(self.settings.tick).min(self.settings.max_retry_after)
    }
}
