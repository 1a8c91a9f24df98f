//! Timers: tokens, and the periodic work.

use crate::action::Action;
use crate::bucket_estimator::EPOCH;
use crate::ids::TenantId;
use crate::state::TenantBucket;
use crate::state_machine::{Actions, Policy};
use crate::time::Micros;
use crate::timer_token::{TOKEN_TICK, TimerKind};

/// us; period of the work over all backends and tenants: too expensive for each tick of large fleets.
const POOL_TICK: Micros = 200_000;
/// A tenant's bucket is dropped after this many epochs without a request.
const IDLE_EPOCHS: Micros = 3;

impl Policy {
    /// us; period of reporting spend and of looking for silent backends. Short against every objective.
    pub(crate) const TICK: Micros = 20_000;

    pub(crate) fn on_timer(&mut self, token: u64, out: &mut Actions) {
        match TimerKind::of(token) {
            TimerKind::Deadline { request } => self.answer(request, out),
            TimerKind::Hedge { request, attempt } => self.hedge(request, attempt, out),
            TimerKind::Tick => self.on_tick(out),
        }
    }

    fn on_tick(&mut self, out: &mut Actions) {
        out.push(Action::Timer { after: Self::TICK, token: TOKEN_TICK });
        // From anywhere in the order, so that a shortage of calls does not starve the same tenants.
        let from = TenantId(self.rng.u64(..));
        self.report_spend(from, out);
        self.try_silent_counter(from, out);
        self.eject_silent_backends();
        if self.now >= self.pool.measured_at + POOL_TICK {
            for service in self.services() {
                self.activate_pool(service);
                self.update_pool();
            }
            self.drop_idle_tenants();
        }
        if self.settings.polls_endpoints && self.now >= self.next_poll {
            self.next_poll = self.now + self.settings.poll_interval / 2;
            out.push(Action::PollEndpoints);
        }
    }

    fn report_spend(&mut self, from: TenantId, out: &mut Actions) {
        let is_due = |id: &TenantId| self.tenants.get(id).is_none_or(|bucket| bucket.report_due <= self.now);
        let unreported = self.unreported_tenants.range(from..).chain(self.unreported_tenants.range(..from));
        for tenant in unreported.copied().filter(is_due).collect::<Vec<_>>() {
            self.call_counter(tenant, false, out);
        }
    }

    /// While the counter is silent nothing is spent from the shared buckets, so there may be nothing to
    /// report: any tenant's total is read then, or the counter's recovery would never be noticed.
    fn try_silent_counter(&mut self, from: TenantId, out: &mut Actions) {
        if self.counter.silent_since.is_none() || self.now < self.counter.next_trial {
            return;
        }
        let may_call = |bucket: &TenantBucket| {
            let has_rate = self.settings.plans[bucket.plan].rate > 0.0;
            bucket.call_in_flight.is_none() && bucket.gatekeepers > 1.0 && has_rate
        };
        let mut tenants = self.tenants.range(from..).chain(self.tenants.range(..from));
        if let Some((&tenant, _)) = tenants.find(|(_, bucket)| may_call(bucket)) {
            self.call_counter(tenant, true, out);
        }
    }

    /// Idle for that long its names have expired and its bucket is full: nothing is lost with it.
    fn drop_idle_tenants(&mut self) {
        let now = self.now;
        self.tenants.retain(|_, bucket| {
            let is_idle = now >= bucket.refilled_at + IDLE_EPOCHS * EPOCH;
            bucket.call_in_flight.is_some() || bucket.in_flight > 0 || !is_idle
        });
    }
}
