//! The file in the policy's types.

use super::file::{Class, Plan, Settings};
use crate::SettingsError;
use dewproxy::interface as policy;

/// The policy counts the attempts of one request in a byte.
const MAX_ATTEMPTS: u64 = 250;

impl Settings {
    /// The policy's settings. Without a counter's address no counter is called.
    pub(super) fn into_policy(self, has_counter: bool) -> Result<policy::Settings, SettingsError> {
        let settings = policy::Settings {
            gateways: self.balancers,
            me: self.me,
            zone: self.zone,
            tick: self.tick_us,
            classes: self.classes.into_iter().map(Class::into_policy).collect::<Result<_, _>>()?,
            plans: self.contracts.into_iter().map(Plan::into_policy).collect(),
            max_attempts: self.bounds.max_attempts.min(MAX_ATTEMPTS) as u32,
            second_copies: self.bounds.second_copies,
            probing: self.bounds.probing,
            cancel: self.bounds.cancel,
            max_retry_after: if self.bounds.retry_after { self.bounds.max_retry_after_us } else { 0 },
            connect_timeout: self.bounds.connect_timeout_us,
            must_ask: self.discovery == "ask",
            ask_every: self.contract.ask_every_us,
            reporting: reporting(&self.report.how),
            report: self.report.columns.iter().map(|name| load_column(name)).collect(),
            cold_share: self.contract.cold_share,
            cold_span: self.contract.cold_us,
            overload_factor: self.contract.overload_factor,
            fall_span: self.contract.fall_us,
            drain_grace: self.contract.drain_grace_us,
            counter: self.specifics.may_count && has_counter,
            counter_wait: self.specifics.count_wait_us,
            settles: self.specifics.settles,
            largest: self.specifics.largest.unwrap_or(1.0),
            cross_zone_cost: self.costs.cross_zone,
            weighted: false,
        };
        settings.validate()?;
        Ok(settings)
    }
}

impl Class {
    fn into_policy(self) -> Result<policy::Class, SettingsError> {
        let effect = match self.effect.as_str() {
            "read_like" => policy::Effect::Safe,
            "idempotency_key" => policy::Effect::Keyed,
            "non_idempotent" => policy::Effect::Unsafe,
            _ => return Err(SettingsError::UnknownEffect { class: self.name, effect: self.effect }),
        };
        let group = match self.group.as_str() {
            "all" => policy::Group::All,
            "zone" => policy::Group::Zone,
            // The narrowest group is the safe reading of anything else.
            _ => policy::Group::Cell,
        };
        Ok(policy::Class {
            aim: self.goal_time_us,
            deadline: self.deadline_us,
            effect,
            group,
            key_ttl: self.key_ttl_us,
            worth: self.worth,
            streaming: self.streaming,
            ..policy::Class::default()
        })
    }
}

impl Plan {
    fn into_policy(self) -> policy::Plan {
        policy::Plan {
            rate: self.per_second,
            burst: self.depth,
            open: self.concurrency,
            ceiling_rate: self.ceiling_rate,
            ceiling_burst: self.ceiling_burst,
            price: self.price,
            beyond_earns: self.beyond_earns,
            excess_cost: self.excess_cost,
        }
    }
}

fn reporting(how: &str) -> policy::Reporting {
    match how {
        "inline" => policy::Reporting::Inline,
        "on_probe" => policy::Reporting::OnProbe,
        _ => policy::Reporting::Off,
    }
}

/// A column of load reports.
fn load_column(name: &str) -> policy::Load {
    match name {
        "active" => policy::Load::Active,
        "waiting" => policy::Load::Waiting,
        "cpu" => policy::Load::Cpu,
        "avg_ms" => policy::Load::ServiceMs,
        "rps" => policy::Load::Served,
        _ => policy::Load::Other,
    }
}
