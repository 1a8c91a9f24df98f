//! Translation of the wire's settings text into the library's [`Settings`].

use policy::{DedupScope, Idempotency, LoadMetric, LoadReporting, Plan, RequestClass, Settings};
use std::collections::BTreeMap;
use std::str::FromStr;

struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    /// A setting that the gateway cannot work without.
    fn need<T: FromStr>(&self, key: &str) -> Result<T, String> {
        let value = self.0.get(key).ok_or_else(|| format!("setting {key} is missing"))?;
        value.parse().map_err(|_| format!("setting {key} has the unusable value {value}"))
    }

    /// A setting that may be absent; one that is present must be usable.
    fn or<T: FromStr>(&self, key: &str, absent: T) -> Result<T, String> {
        if self.0.contains_key(key) { self.need(key) } else { Ok(absent) }
    }

    fn word(&self, key: &str) -> &'a str {
        self.0.get(key).copied().unwrap_or("")
    }
}

/// Reads `path=value` lines; unknown keys are skipped.
pub fn parse(text: &str) -> Result<Settings, String> {
    let pairs = Pairs(text.lines().filter_map(|line| line.split_once('=')).collect());
    let classes = items(&pairs, "classes", class)?;
    let plans = items(&pairs, "contracts", plan)?;
    let advice = pairs.or("bounds.retry-after", false)?;
    let settings = Settings {
        gatekeepers: pairs.need("balancers")?,
        gatekeeper_index: pairs.need("me")?,
        zone: pairs.or("zone", 0)?,
        tick: pairs.or("tick-us", 1000)?,
        classes,
        plans,
        max_attempts: pairs.or("bounds.max-attempts", 1)?,
        hedging: pairs.or("bounds.second-copies", false)?,
        health_checks: pairs.or("bounds.probing", false)?,
        cancellation: pairs.or("bounds.cancel", false)?,
        max_retry_after: if advice { pairs.or("bounds.max-retry-after-us", 0)? } else { 0 },
        connect_timeout: pairs.or("bounds.connect-timeout-us", 250_000)?,
        polls_endpoints: pairs.word("discovery") == "ask",
        poll_interval: pairs.or("contract.ask-every-us", 10_000_000)?,
        load_reporting: match pairs.word("report.how") {
            "inline" => LoadReporting::Inline,
            "on_probe" => LoadReporting::OnHealthCheck,
            _ => LoadReporting::Off,
        },
        load_metrics: pairs.word("report.columns").split(',').filter(|c| !c.is_empty()).map(column).collect(),
        slow_start_share: pairs.or("contract.cold-share", 1.0)?,
        slow_start_duration: pairs.or("contract.cold-us", 0)?,
        overload_factor: pairs.or("contract.overload-factor", 1.0)?,
        overload_duration: pairs.or("contract.fall-us", 1_000_000)?,
        drain_grace: pairs.or("contract.drain-grace-us", 0)?,
        shared_counter: pairs.or("specifics.may-count", false)?,
        counter_timeout: pairs.or("specifics.count-wait-us", 50_000)?,
        estimated_costs: pairs.or("specifics.settles", false)?,
        max_cost: pairs.or("specifics.largest", 1.0)?,
        cross_zone_cost: pairs.or("costs.cross-zone", 0.0)?,
        weighted_backends: false,
    };
    settings.validate().map_err(|error| error.to_string())?;
    Ok(settings)
}

/// A list of objects, `name.count` long. The count is checked by its items, so it cannot ask for memory.
fn items<T>(
    pairs: &Pairs,
    name: &str,
    read: fn(&Pairs, &str) -> Result<T, String>,
) -> Result<Vec<T>, String> {
    let count: u32 = pairs.or(&format!("{name}.count"), 0)?;
    (0..count).map(|i| read(pairs, &format!("{name}.{i}"))).collect()
}

fn class(pairs: &Pairs, at: &str) -> Result<RequestClass, String> {
    let effect_key = format!("{at}.effect");
    let group_key = format!("{at}.group");
    Ok(RequestClass {
        latency_objective: pairs.need(&format!("{at}.goal-time-us"))?,
        deadline: pairs.need(&format!("{at}.deadline-us"))?,
        idempotency: match pairs.word(&effect_key) {
            "read_like" => Idempotency::Idempotent,
            "idempotency_key" => Idempotency::Keyed,
            "non_idempotent" => Idempotency::NonIdempotent,
            other => return Err(format!("setting {effect_key} has the unusable value {other:?}")),
        },
        dedup_scope: match pairs.word(&group_key) {
            "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            // The narrowest group is the safe reading of anything else.
            _ => DedupScope::Cell,
        },
        idempotency_key_ttl: pairs.or(&format!("{at}.key-ttl-us"), 0)?,
        priority_weight: pairs.or(&format!("{at}.worth"), 1.0)?,
        streaming: pairs.or(&format!("{at}.streaming"), false)?,
        ..RequestClass::default()
    })
}

fn plan(pairs: &Pairs, at: &str) -> Result<Plan, String> {
    Ok(Plan {
        rate: pairs.or(&format!("{at}.per-second"), 0.0)?,
        burst: pairs.or(&format!("{at}.depth"), 0.0)?,
        max_in_flight: pairs.or(&format!("{at}.concurrency"), 0)?,
        ceiling_rate: pairs.or(&format!("{at}.ceiling-rate"), 0.0)?,
        ceiling_burst: pairs.or(&format!("{at}.ceiling-burst"), 0.0)?,
        priority_factor: pairs.or(&format!("{at}.price"), 1.0)?,
        beyond_quota_earns: pairs.or(&format!("{at}.beyond-earns"), 0.0)?,
        beyond_quota_costs: pairs.or(&format!("{at}.excess-cost"), 0.0)?,
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
