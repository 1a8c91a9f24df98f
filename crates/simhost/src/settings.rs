//! Parses the wire's settings text, lines of `path=value`, as the policy's [`Settings`].

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
    /// A required setting is missing.
    #[error("setting {0} is missing")]
    Missing(String),
    /// A value cannot be parsed.
    #[error("setting {key} has the unusable value {value}")]
    Unusable {
        /// The setting.
        key: String,
        /// The value.
        value: String,
    },
    /// The policy rejects the settings.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
}

/// The values by path.
struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    /// A required setting.
    fn required<T: FromStr>(&self, key: &str) -> Result<T, ParseError> {
        let value = self.0.get(key).ok_or_else(|| ParseError::Missing(key.to_owned()))?;
        value.parse().map_err(|_| ParseError::Unusable { key: key.to_owned(), value: (*value).to_owned() })
    }

    /// A setting with a default. A value that is present must be valid.
    fn optional<T: FromStr>(&self, key: &str, default: T) -> Result<T, ParseError> {
        if self.0.contains_key(key) { self.required(key) } else { Ok(default) }
    }

    /// The text of a setting; empty if it is absent.
    fn text(&self, key: &str) -> &'a str {
        self.0.get(key).copied().unwrap_or("")
    }
}

/// Parses the settings. Unknown keys are skipped.
pub(crate) fn parse(text: &str) -> Result<Settings, ParseError> {
    let pairs = Pairs(text.lines().filter_map(|line| line.split_once('=')).collect());
    let classes = parse_list(&pairs, "classes", parse_class)?;
    let plans = parse_list(&pairs, "contracts", parse_plan)?;
    let allows_retry_after = pairs.optional("bounds.retry-after", false)?;
    let settings = Settings {
        gatekeepers: pairs.required("balancers")?,
        gatekeeper_index: pairs.required("me")?,
        zone: pairs.optional("zone", 0)?,
        tick: pairs.optional("tick-us", 1000)?,
        classes,
        plans,
        max_attempts: pairs.optional("bounds.max-attempts", 1)?,
        hedging: pairs.optional("bounds.second-copies", false)?,
        health_checks: pairs.optional("bounds.probing", false)?,
        cancellation: pairs.optional("bounds.cancel", false)?,
        max_retry_after: if allows_retry_after {
            pairs.optional("bounds.max-retry-after-us", 0)?
        } else {
            0
        },
        connect_timeout: pairs.optional("bounds.connect-timeout-us", 250_000)?,
        polls_endpoints: pairs.text("discovery") == "ask",
        poll_interval: pairs.optional("contract.ask-every-us", 10_000_000)?,
        load_reporting: parse_load_reporting(pairs.text("report.how")),
        load_metrics: parse_load_metrics(pairs.text("report.columns")),
        slow_start_share: pairs.optional("contract.cold-share", 1.0)?,
        slow_start_duration: pairs.optional("contract.cold-us", 0)?,
        overload_factor: pairs.optional("contract.overload-factor", 1.0)?,
        overload_duration: pairs.optional("contract.fall-us", 1_000_000)?,
        drain_grace: pairs.optional("contract.drain-grace-us", 0)?,
        shared_counter: pairs.optional("specifics.may-count", false)?,
        counter_timeout: pairs.optional("specifics.count-wait-us", 50_000)?,
        estimated_costs: pairs.optional("specifics.settles", false)?,
        max_cost: pairs.optional("specifics.largest", 1.0)?,
        cross_zone_cost: pairs.optional("costs.cross-zone", 0.0)?,
        weighted_backends: false,
    };
    settings.validate()?;
    Ok(settings)
}

/// Parses the objects at `name.0`, `name.1` and so on; `name.count` is their number.
fn parse_list<T>(
    pairs: &Pairs,
    name: &str,
    parse_item: fn(&Pairs, &str) -> Result<T, ParseError>,
) -> Result<Vec<T>, ParseError> {
    let count: u32 = pairs.optional(&format!("{name}.count"), 0)?;
    (0..count).map(|index| parse_item(pairs, &format!("{name}.{index}"))).collect()
}

fn parse_load_reporting(text: &str) -> LoadReporting {
    match text {
        "inline" => LoadReporting::Inline,
        "on_probe" => LoadReporting::OnHealthCheck,
        _ => LoadReporting::Off,
    }
}

fn parse_class(pairs: &Pairs, path: &str) -> Result<RequestClass, ParseError> {
    Ok(RequestClass {
        latency_objective: pairs.required(&format!("{path}.goal-time-us"))?,
        deadline: pairs.required(&format!("{path}.deadline-us"))?,
        idempotency: parse_idempotency(pairs, &format!("{path}.effect"))?,
        dedup_scope: parse_dedup_scope(pairs.text(&format!("{path}.group"))),
        idempotency_key_ttl: pairs.optional(&format!("{path}.key-ttl-us"), 0)?,
        priority_weight: pairs.optional(&format!("{path}.worth"), 1.0)?,
        streaming: pairs.optional(&format!("{path}.streaming"), false)?,
        ..RequestClass::default()
    })
}

fn parse_idempotency(pairs: &Pairs, key: &str) -> Result<Idempotency, ParseError> {
    match pairs.text(key) {
        "read_like" => Ok(Idempotency::Idempotent),
        "idempotency_key" => Ok(Idempotency::Keyed),
        "non_idempotent" => Ok(Idempotency::NonIdempotent),
        other => Err(ParseError::Unusable { key: key.to_owned(), value: format!("{other:?}") }),
    }
}

/// Parses the scope in which backends recognize a repeated idempotency key. The narrowest scope is the safe default.
fn parse_dedup_scope(text: &str) -> DedupScope {
    match text {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        _ => DedupScope::Cell,
    }
}

fn parse_plan(pairs: &Pairs, path: &str) -> Result<Plan, ParseError> {
    Ok(Plan {
        rate: pairs.optional(&format!("{path}.per-second"), 0.0)?,
        burst: pairs.optional(&format!("{path}.depth"), 0.0)?,
        max_in_flight: pairs.optional(&format!("{path}.concurrency"), 0)?,
        ceiling_rate: pairs.optional(&format!("{path}.ceiling-rate"), 0.0)?,
        ceiling_burst: pairs.optional(&format!("{path}.ceiling-burst"), 0.0)?,
        priority_factor: pairs.optional(&format!("{path}.price"), 1.0)?,
        beyond_quota_earns: pairs.optional(&format!("{path}.beyond-earns"), 0.0)?,
        beyond_quota_costs: pairs.optional(&format!("{path}.excess-cost"), 0.0)?,
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
