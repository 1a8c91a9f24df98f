//! The wire's settings text, `path=value` lines, as the policy's [`Settings`].

use policy::SettingsError;
use policy::{DedupScope, Idempotency, LoadMetric, LoadReporting, Plan, RequestClass, Settings};
use std::collections::BTreeMap;
use std::str::FromStr;
use thiserror::Error;

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub(crate) enum ParseError {
    /// A setting is missing.
    #[error("setting {0} is missing")]
    Missing(String),
    /// A value cannot be read.
    #[error("setting {key} has the unusable value {value}")]
    Unusable {
        /// The setting.
        key: String,
        /// Its value.
        value: String,
    },
    /// The policy does not accept them.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
}

/// The lines, by path.
struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    /// A setting that the policy needs.
    fn required<T: FromStr>(&self, key: &str) -> Result<T, ParseError> {
        let value = self.0.get(key).ok_or_else(|| ParseError::Missing(key.to_owned()))?;
        value.parse().map_err(|_| ParseError::Unusable { key: key.to_owned(), value: (*value).to_owned() })
    }

    /// A setting that may be absent; one that is present must be usable.
    fn optional<T: FromStr>(&self, key: &str, default: T) -> Result<T, ParseError> {
        if self.0.contains_key(key) { self.required(key) } else { Ok(default) }
    }

    fn text(&self, key: &str) -> &'a str {
        self.0.get(key).copied().unwrap_or("")
    }
}

/// Reads `path=value` lines; unknown keys are skipped.
pub(crate) fn parse(text: &str) -> Result<Settings, ParseError> {
    let pairs = Pairs(text.lines().filter_map(|line| line.split_once('=')).collect());
    let classes = items(&pairs, "classes", class)?;
    let plans = items(&pairs, "contracts", plan)?;
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
        load_reporting: match pairs.text("report.how") {
            "inline" => LoadReporting::Inline,
            "on_probe" => LoadReporting::OnHealthCheck,
            _ => LoadReporting::Off,
        },
        load_metrics: pairs.text("report.columns").split(',').filter(|c| !c.is_empty()).map(column).collect(),
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

/// A list of objects, `name.count` long. The count is checked by its items, so it cannot ask for memory.
fn items<T>(
    pairs: &Pairs,
    name: &str,
    read: fn(&Pairs, &str) -> Result<T, ParseError>,
) -> Result<Vec<T>, ParseError> {
    let count: u32 = pairs.optional(&format!("{name}.count"), 0)?;
    (0..count).map(|i| read(pairs, &format!("{name}.{i}"))).collect()
}

fn class(pairs: &Pairs, path: &str) -> Result<RequestClass, ParseError> {
    let idempotency_key = format!("{path}.effect");
    let dedup_scope_key = format!("{path}.group");
    Ok(RequestClass {
        latency_objective: pairs.required(&format!("{path}.goal-time-us"))?,
        deadline: pairs.required(&format!("{path}.deadline-us"))?,
        idempotency: match pairs.text(&idempotency_key) {
            "read_like" => Idempotency::Idempotent,
            "idempotency_key" => Idempotency::Keyed,
            "non_idempotent" => Idempotency::NonIdempotent,
            other => {
                return Err(ParseError::Unusable { key: idempotency_key, value: format!("{other:?}") });
            }
        },
        dedup_scope: match pairs.text(&dedup_scope_key) {
            "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            // The narrowest group is the safe reading of anything else.
            _ => DedupScope::Cell,
        },
        idempotency_key_ttl: pairs.optional(&format!("{path}.key-ttl-us"), 0)?,
        priority_weight: pairs.optional(&format!("{path}.worth"), 1.0)?,
        streaming: pairs.optional(&format!("{path}.streaming"), false)?,
        ..RequestClass::default()
    })
}

fn plan(pairs: &Pairs, path: &str) -> Result<Plan, ParseError> {
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

fn column(name: &str) -> LoadMetric {
    match name {
        "active" => LoadMetric::InFlight,
        "waiting" => LoadMetric::Queued,
        "cpu" => LoadMetric::Cpu,
        "avg_ms" => LoadMetric::ServiceTimeMillis,
        "rps" => LoadMetric::Throughput,
        _ => LoadMetric::Other,
    }
}

#[cfg(test)]
mod tests;
