//! Handles expired timers, and runs the periodic work: for example reports to the counter and
//! updates of the pools.

use crate::action::Action;
use crate::counter_health::Urgency;
use crate::ids::TenantId;
use crate::outlier_detection::{silence_timeout, trial_interval};
use crate::shared_bucket::EPOCH_DURATION;
use crate::state_machine::{Actions, MAX_TENANTS, Policy};
use crate::tenant_quota::TenantQuota;
use crate::time::Micros;
use crate::timer_token::{TICK_INTERVAL, TOKEN_TICK, TimerKind};

/// Microseconds between updates of all backends and tenants. With large fleets these updates are too
/// expensive for each tick.
pub(crate) const POOL_UPDATE_INTERVAL: Micros = 200_000;
/// A tenant's quota is dropped after this many microseconds without a request. By then its counts have
/// expired at the shared counter and its bucket is full, so no state is lost.
const QUOTA_IDLE_TIMEOUT: Micros = 3 * EPOCH_DURATION;
/// Maximum number of tenants with unreported spend that one tick looks at. A gatekeeper makes fewer calls to
/// the counter in a tick.
const MAX_REPORT_CANDIDATES: usize = 1_024;

impl Policy {
    pub(crate) fn on_timer(&mut self, token: u64, out: &mut Actions) {
        match TimerKind::from_token(token) {
            TimerKind::Deadline { request } => self.give_up_request(request, out),
            TimerKind::Hedge { request, attempt } => self.send_hedged_request(request, attempt, out),
            TimerKind::Tick => self.on_tick(out),
        }
    }

    fn on_tick(&mut self, out: &mut Actions) {
        out.push(Action::Timer { after: TICK_INTERVAL, token: TOKEN_TICK });
        // The tick starts at a random tenant, so that the rate limit of counter calls does not always starve
        // the same tenants.
        let first_tenant = TenantId(self.rng.u64(..));
        self.report_spend(first_tenant, out);
        self.probe_silent_counter(first_tenant, out);
        self.eject_silent_backends();
        if self.now >= self.pools[0].answer_rate.measured_at() + POOL_UPDATE_INTERVAL {
            for service in 0..self.pools.len() {
                self.update_pool(service);
            }
            self.drop_unused_quotas();
        }
        if self.settings.polls_endpoints && self.now >= self.next_poll {
            self.next_poll = self.now + self.settings.poll_interval / 2;
            out.push(Action::PollEndpoints);
        }
    }

    /// Reports the spend that is due to the counter.
    fn report_spend(&mut self, first_tenant: TenantId, out: &mut Actions) {
        let tenants = self.counter.unreported_from(first_tenant).take(MAX_REPORT_CANDIDATES);
        for tenant in tenants.collect::<Vec<_>>() {
            match self.tenants.get(&tenant) {
                // The quota was dropped, so no call is ever made for the tenant.
                None => self.counter.cancel_report(tenant),
                Some(quota) if quota.report_due <= self.now => {
                    self.call_counter(tenant, Urgency::Deferrable, out);
                }
                Some(_) => {}
            }
        }
    }

    /// Drops the quotas of tenants without requests. While there are many tenants, drops those as well whose
    /// levels are full again: a new quota has at most these levels.
    fn drop_unused_quotas(&mut self) {
        let (now, settings) = (self.now, &self.settings);
        let is_crowded = self.tenants.len() > MAX_TENANTS / 2;
        self.tenants.retain(|_, quota| {
            let is_idle = quota.is_idle_for(QUOTA_IDLE_TIMEOUT, now);
            !(is_idle || is_crowded && quota.is_full(settings, now))
        });
    }

    /// Reads the total of any tenant's count while the counter does not answer. Nothing is spent from the
    /// shared buckets then, so there may be no spend to report, and without this call the recovery of the
    /// counter would go unnoticed.
    fn probe_silent_counter(&mut self, first_tenant: TenantId, out: &mut Actions) {
        if !self.counter.health.is_trial_due(self.now) {
            return;
        }
        let may_call = |quota: &TenantQuota| {
            let has_rate = self.settings.plans[quota.plan].rate > 0.0;
            !quota.shared.is_call_in_flight() && quota.gatekeeper_count() > 1.0 && has_rate
        };
        let mut tenants = self.tenants.range(first_tenant..).chain(self.tenants.range(..first_tenant));
        if let Some((&tenant, _)) = tenants.find(|(_, quota)| may_call(quota)) {
            self.call_counter(tenant, Urgency::Immediate, out);
        }
    }

    /// Ejects backends that have attempts in flight for longer than the silence timeout and have sent no
    /// answer since these attempts were sent.
    fn eject_silent_backends(&mut self) {
        let (now, next_trial) = (self.now, self.now + trial_interval(&self.settings));
        let mut was_ejected = false;
        for request in self.requests.values() {
            let timeout = silence_timeout(self.settings.classes[request.class].latency_objective);
            for attempt in request.attempts.iter().filter(|a| a.is_in_flight() && now - a.sent_at > timeout) {
                if let Some(backend) = self.backends.get_mut(attempt.backend) {
                    was_ejected |= backend.health.eject_if_silent(request.class, attempt.sent_at, next_trial);
                }
            }
        }
        // Panic mode is updated at once. Otherwise, with all backends ejected, every request would be
        // rejected until the next periodic update.
        if was_ejected {
            (0..self.pools.len()).for_each(|service| self.update_panic_mode(service));
        }
    }
}

#[cfg(test)]
mod tests;
