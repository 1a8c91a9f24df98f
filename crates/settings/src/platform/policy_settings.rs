//! Conversion of `config.json` to the settings of the policy.

use super::file::{Class, Plan, Settings};
use crate::SettingsError;

/// Maximum number of attempts of one request. The policy counts attempts in one byte.
const MAX_ATTEMPTS: u64 = 250;

impl Settings {
    /// Converts the file to settings of the policy. The shared counter is used only if its address is configured (`has_counter`).
    pub(super) fn into_policy(self, has_counter: bool) -> Result<policy::Settings, SettingsError> {
        let settings = policy::Settings {
            gatekeepers: self.balancers,
            gatekeeper_index: self.me,
            zone: self.zone,
            tick: self.tick_us,
            classes: self.classes.into_iter().map(Class::into_policy).collect::<Result<_, _>>()?,
            plans: self.contracts.into_iter().map(Plan::into_policy).collect(),
            max_attempts: self.bounds.max_attempts.min(MAX_ATTEMPTS) as u32,
            hedging: self.bounds.second_copies,
            health_checks: self.bounds.probing,
            cancellation: self.bounds.cancel,
            max_retry_after: if self.bounds.retry_after { self.bounds.max_retry_after_us } else { 0 },
            connect_timeout: self.bounds.connect_timeout_us,
            polls_endpoints: self.discovery == "ask",
            poll_interval: self.contract.ask_every_us,
            load_reporting: load_reporting(&self.report.how),
            load_metrics: self.report.columns.iter().map(|name| load_metric(name)).collect(),
            slow_start_share: self.contract.cold_share,
            slow_start_duration: self.contract.cold_us,
            overload_factor: self.contract.overload_factor,
            overload_duration: self.contract.fall_us,
            drain_grace: self.contract.drain_grace_us,
            shared_counter: self.specifics.may_count && has_counter,
            counter_timeout: self.specifics.count_wait_us,
            estimated_costs: self.specifics.settles,
            max_cost: self.specifics.largest.unwrap_or(1.0),
            cross_zone_cost: self.costs.cross_zone,
            weighted_backends: false,
        };
        settings.validate()?;
        Ok(settings)
    }
}

impl Class {
    fn into_policy(self) -> Result<policy::RequestClass, SettingsError> {
        let idempotency = match self.effect.as_str() {
            "read_like" => policy::Idempotency::Idempotent,
            "idempotency_key" => policy::Idempotency::Keyed,
            "non_idempotent" => policy::Idempotency::NonIdempotent,
            _ => return Err(SettingsError::UnknownEffect { class: self.name, effect: self.effect }),
        };
        let dedup_scope = match self.group.as_str() {
            "all" => policy::DedupScope::All,
            "zone" => policy::DedupScope::Zone,
            // An unknown group is treated as the narrowest scope, which is always safe: a retry never goes to a backend that does
            // not recognize the idempotency key.
            _ => policy::DedupScope::Cell,
        };
        Ok(policy::RequestClass {
            latency_objective: self.goal_time_us,
            deadline: self.deadline_us,
            idempotency,
            dedup_scope,
            idempotency_key_ttl: self.key_ttl_us,
            priority_weight: self.worth,
            streaming: self.streaming,
            ..policy::RequestClass::default()
        })
    }
}

impl Plan {
    fn into_policy(self) -> policy::Plan {
        policy::Plan {
            rate: self.per_second,
            burst: self.depth,
            max_in_flight: self.concurrency,
            ceiling_rate: self.ceiling_rate,
            ceiling_burst: self.ceiling_burst,
            priority_factor: self.price,
            beyond_quota_reward_fraction: self.beyond_earns,
            beyond_quota_penalty_fraction: self.excess_cost,
        }
    }
}

fn load_reporting(how: &str) -> policy::LoadReporting {
    match how {
        "inline" => policy::LoadReporting::Inline,
        "on_probe" => policy::LoadReporting::OnHealthCheck,
        _ => policy::LoadReporting::Off,
    }
}

/// The load metric that a column of a load report contains.
fn load_metric(name: &str) -> policy::LoadMetric {
    match name {
        "active" => policy::LoadMetric::InFlight,
        "waiting" => policy::LoadMetric::Queued,
        "cpu" => policy::LoadMetric::Cpu,
        "avg_ms" => policy::LoadMetric::ServiceTimeMillis,
        "rps" => policy::LoadMetric::Throughput,
        _ => policy::LoadMetric::Other,
    }
}
