//! Parses the settings text of a start record, which has lines of `path=value`, into the policy's [`Settings`].

use policy::{
    DedupScope, Idempotency, LoadMetric, LoadReporting, Plan, RequestClass, Settings, SettingsError,
};
use std::collections::BTreeMap;
use std::str::FromStr;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// An error of the settings text.
#[derive(Debug, Error)]
pub(crate) enum ParseError {
    /// The text has no line for a required setting. The value is the path of the setting.
    #[error("setting {0} is missing")]
    MissingSetting(String),
    /// The value of a setting has the wrong type, or is none of the allowed words.
    #[error("setting {key} has the unusable value {value}")]
    InvalidValue {
        /// Path of the setting, for example `classes.0.effect`.
        key: String,
        /// The invalid value: the text behind the equals sign.
        value: String,
    },
    /// A setting is out of the range that the policy accepts.
    #[error(transparent)]
    RejectedByPolicy(#[from] SettingsError),
}

/// The values of the settings text by path.
struct SettingValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> SettingValues<'a> {
    /// Parses the value of a required setting.
    fn required<T: FromStr>(&self, key: &str) -> Result<T, ParseError> {
        let value = self.0.get(key).ok_or_else(|| ParseError::MissingSetting(key.to_owned()))?;
        value
            .parse()
            .map_err(|_| ParseError::InvalidValue { key: key.to_owned(), value: (*value).to_owned() })
    }

    /// Parses the value of a setting. Returns `default` if the setting is absent, and an error if its value is invalid.
    fn optional<T: FromStr>(&self, key: &str, default: T) -> Result<T, ParseError> {
        if self.0.contains_key(key) { self.required(key) } else { Ok(default) }
    }

    /// The text of a setting; empty if the setting is absent.
    fn text(&self, key: &str) -> &'a str {
        self.0.get(key).copied().unwrap_or("")
    }
}

/// Parses and validates the settings. Unknown settings are skipped.
pub(crate) fn parse(text: &str) -> Result<Settings, ParseError> {
    let values = SettingValues(text.lines().filter_map(|line| line.split_once('=')).collect());
    let classes = parse_list(&values, "classes", parse_class)?;
    let plans = parse_list(&values, "contracts", parse_plan)?;
    let allows_retry_after = values.optional("bounds.retry-after", false)?;
    let settings = Settings {
        gatekeepers: values.required("balancers")?,
        gatekeeper_index: values.required("me")?,
        zone: values.optional("zone", 0)?,
        tick: values.optional("tick-us", 1000)?,
        classes,
        plans,
        max_attempts: values.optional("bounds.max-attempts", 1)?,
        hedging: values.optional("bounds.second-copies", false)?,
        health_checks: values.optional("bounds.probing", false)?,
        cancellation: values.optional("bounds.cancel", false)?,
        max_retry_after: if allows_retry_after {
            values.optional("bounds.max-retry-after-us", 0)?
        } else {
            0
        },
        connect_timeout: values.optional("bounds.connect-timeout-us", 250_000)?,
        polls_endpoints: values.text("discovery") == "ask",
        poll_interval: values.optional("contract.ask-every-us", 10_000_000)?,
        load_reporting: parse_load_reporting(values.text("report.how")),
        load_metrics: parse_load_metrics(values.text("report.columns")),
        slow_start_share: values.optional("contract.cold-share", 1.0)?,
        slow_start_duration: values.optional("contract.cold-us", 0)?,
        overload_factor: values.optional("contract.overload-factor", 1.0)?,
        overload_duration: values.optional("contract.fall-us", 1_000_000)?,
        drain_grace: values.optional("contract.drain-grace-us", 0)?,
        shared_counter: values.optional("specifics.may-count", false)?,
        counter_timeout: values.optional("specifics.count-wait-us", 50_000)?,
        estimated_costs: values.optional("specifics.settles", false)?,
        max_cost: values.optional("specifics.largest", 1.0)?,
        cross_zone_cost: values.optional("costs.cross-zone", 0.0)?,
        weighted_backends: false,
    };
    settings.validate()?;
    Ok(settings)
}

/// Parses the items of a list, whose paths begin with `name.0`, `name.1` and so on; `name.count` is their number.
fn parse_list<T>(
    values: &SettingValues,
    name: &str,
    parse_item: fn(&SettingValues, &str) -> Result<T, ParseError>,
) -> Result<Vec<T>, ParseError> {
    let count: u32 = values.optional(&format!("{name}.count"), 0)?;
    (0..count).map(|index| parse_item(values, &format!("{name}.{index}"))).collect()
}

fn parse_load_reporting(text: &str) -> LoadReporting {
    match text {
        "inline" => LoadReporting::Inline,
        "on_probe" => LoadReporting::OnHealthCheck,
        _ => LoadReporting::Off,
    }
}

fn parse_class(values: &SettingValues, path: &str) -> Result<RequestClass, ParseError> {
    Ok(RequestClass {
        latency_objective: values.required(&format!("{path}.goal-time-us"))?,
        deadline: values.required(&format!("{path}.deadline-us"))?,
        idempotency: parse_idempotency(values, &format!("{path}.effect"))?,
        dedup_scope: parse_dedup_scope(values.text(&format!("{path}.group"))),
        idempotency_key_ttl: values.optional(&format!("{path}.key-ttl-us"), 0)?,
        priority_weight: values.optional(&format!("{path}.worth"), 1.0)?,
        streaming: values.optional(&format!("{path}.streaming"), false)?,
        ..RequestClass::default()
    })
}

fn parse_idempotency(values: &SettingValues, key: &str) -> Result<Idempotency, ParseError> {
    match values.text(key) {
        "read_like" => Ok(Idempotency::Idempotent),
        "idempotency_key" => Ok(Idempotency::Keyed),
        "non_idempotent" => Ok(Idempotency::NonIdempotent),
        other => Err(ParseError::InvalidValue { key: key.to_owned(), value: format!("{other:?}") }),
    }
}

/// Parses the scope in which backends recognize a repeated idempotency key. An unknown or absent scope is treated as the
/// narrowest one, which is always safe.
fn parse_dedup_scope(text: &str) -> DedupScope {
    match text {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        _ => DedupScope::Cell,
    }
}

fn parse_plan(values: &SettingValues, path: &str) -> Result<Plan, ParseError> {
    Ok(Plan {
        rate: values.optional(&format!("{path}.per-second"), 0.0)?,
        burst: values.optional(&format!("{path}.depth"), 0.0)?,
        max_in_flight: values.optional(&format!("{path}.concurrency"), 0)?,
        ceiling_rate: values.optional(&format!("{path}.ceiling-rate"), 0.0)?,
        ceiling_burst: values.optional(&format!("{path}.ceiling-burst"), 0.0)?,
        priority_factor: values.optional(&format!("{path}.price"), 1.0)?,
        beyond_quota_reward_fraction: values.optional(&format!("{path}.beyond-earns"), 0.0)?,
        beyond_quota_penalty_fraction: values.optional(&format!("{path}.excess-cost"), 0.0)?,
    })
}

fn parse_load_metrics(text: &str) -> Vec<LoadMetric> {
    text.split(',').filter(|name| !name.is_empty()).map(parse_load_metric).collect()
}

fn parse_load_metric(name: &str) -> LoadMetric {
    match name {
        "active" => LoadMetric::InFlight,
        "waiting" => LoadMetric::Queued,
        "cpu" => LoadMetric::Cpu,
        "avg_ms" => LoadMetric::ServiceTimeMillis,
        "rps" => LoadMetric::Throughput,
        _ => LoadMetric::Other,
    }
}
