//! Timers: what happens when one expires, and the periodic work.

use crate::action::Action;
use crate::counter_health::Urgency;
use crate::ids::TenantId;
use crate::outlier_detection::{ejection_time, silence_timeout};
use crate::shared_bucket::EPOCH;
use crate::state_machine::{Actions, Policy};
use crate::tenant_quota::TenantQuota;
use crate::time::Micros;
use crate::timer_token::{TICK, TOKEN_TICK, TimerKind};

/// Microseconds between two rounds of the work over all backends and tenants: too expensive for each tick of
/// large fleets.
const POOL_TICK: Micros = 200_000;
/// A tenant's quota is dropped after this many microseconds without a request: its names have expired and its
/// bucket is full, so that nothing is lost with it.
const IDLE_TIMEOUT: Micros = 3 * EPOCH;

impl Policy {
    pub(crate) fn on_timer(&mut self, token: u64, out: &mut Actions) {
        match TimerKind::of(token) {
            TimerKind::Deadline { request } => self.answer(request, out),
            TimerKind::Hedge { request, attempt } => self.hedge(request, attempt, out),
            TimerKind::Tick => self.on_tick(out),
        }
    }

    fn on_tick(&mut self, out: &mut Actions) {
        out.push(Action::Timer { after: TICK, token: TOKEN_TICK });
        // From anywhere in the order, so that a shortage of calls does not starve the same tenants.
        let from = TenantId(self.rng.u64(..));
        self.report_spend(from, out);
        self.try_silent_counter(from, out);
        self.eject_silent_backends();
        if self.now >= self.pools[0].answers.measured_at() + POOL_TICK {
            for service in 0..self.pools.len() {
                self.update_pool(service);
            }
            let now = self.now;
            self.tenants.retain(|_, quota| !quota.is_idle_for(IDLE_TIMEOUT, now));
        }
        if self.settings.polls_endpoints && self.now >= self.next_poll {
            self.next_poll = self.now + self.settings.poll_interval / 2;
            out.push(Action::PollEndpoints);
        }
    }

    fn report_spend(&mut self, from: TenantId, out: &mut Actions) {
        let is_due = |id: &TenantId| self.tenants.get(id).is_none_or(|quota| quota.report_due <= self.now);
        for tenant in self.counter.unreported_from(from).filter(is_due).collect::<Vec<_>>() {
            self.call_counter(tenant, Urgency::Deferrable, out);
        }
    }

    /// While the counter is silent nothing is spent from the shared buckets, so there may be nothing to
    /// report. Any tenant's total is read then, or the counter's recovery would never be noticed.
    fn try_silent_counter(&mut self, from: TenantId, out: &mut Actions) {
        if !self.counter.health.is_trial_due(self.now) {
            return;
        }
        let may_call = |quota: &TenantQuota| {
            let has_rate = self.settings.plans[quota.plan].rate > 0.0;
            !quota.shared.is_call_in_flight() && quota.gatekeepers() > 1.0 && has_rate
        };
        let mut tenants = self.tenants.range(from..).chain(self.tenants.range(..from));
        if let Some((&tenant, _)) = tenants.find(|(_, quota)| may_call(quota)) {
            self.call_counter(tenant, Urgency::Awaited, out);
        }
    }

    /// A silent backend is found by the age of its attempts in flight with no answer since.
    fn eject_silent_backends(&mut self) {
        let (now, next_trial) = (self.now, self.now + ejection_time(&self.settings));
        let mut was_ejected = false;
        for request in self.requests.values() {
            let timeout = silence_timeout(self.settings.classes[request.class].latency_objective);
            for attempt in request.attempts.iter().filter(|a| a.is_in_flight() && now - a.sent_at > timeout) {
                if let Some(backend) = self.backends.get_mut(attempt.backend) {
                    was_ejected |= backend.health.eject_if_silent(request.class, attempt.sent_at, next_trial);
                }
            }
        }
        // At once: until it is known that all are silent, nothing would be admitted.
        if was_ejected {
            (0..self.pools.len()).for_each(|service| self.update_panic_mode(service));
        }
    }
}
