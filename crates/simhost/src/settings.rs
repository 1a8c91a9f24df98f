//! Translation of the wire's settings text into the library's [`Settings`].

use policy::interface::{Class, Effect, Group, Load, Plan, Reporting, Settings};
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
        gateways: pairs.need("balancers")?,
        me: pairs.need("me")?,
        zone: pairs.or("zone", 0)?,
        tick: pairs.or("tick-us", 1000)?,
        classes,
        plans,
        max_attempts: pairs.or("bounds.max-attempts", 1)?,
        second_copies: pairs.or("bounds.second-copies", false)?,
        probing: pairs.or("bounds.probing", false)?,
        cancel: pairs.or("bounds.cancel", false)?,
        max_retry_after: if advice { pairs.or("bounds.max-retry-after-us", 0)? } else { 0 },
        connect_timeout: pairs.or("bounds.connect-timeout-us", 250_000)?,
        must_ask: pairs.word("discovery") == "ask",
        ask_every: pairs.or("contract.ask-every-us", 10_000_000)?,
        reporting: match pairs.word("report.how") {
            "inline" => Reporting::Inline,
            "on_probe" => Reporting::OnProbe,
            _ => Reporting::Off,
        },
        report: pairs.word("report.columns").split(',').filter(|c| !c.is_empty()).map(column).collect(),
        cold_share: pairs.or("contract.cold-share", 1.0)?,
        cold_span: pairs.or("contract.cold-us", 0)?,
        overload_factor: pairs.or("contract.overload-factor", 1.0)?,
        fall_span: pairs.or("contract.fall-us", 1_000_000)?,
        drain_grace: pairs.or("contract.drain-grace-us", 0)?,
        counter: pairs.or("specifics.may-count", false)?,
        counter_wait: pairs.or("specifics.count-wait-us", 50_000)?,
        settles: pairs.or("specifics.settles", false)?,
        largest: pairs.or("specifics.largest", 1.0)?,
        cross_zone_cost: pairs.or("costs.cross-zone", 0.0)?,
        weighted: false,
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

fn class(pairs: &Pairs, at: &str) -> Result<Class, String> {
    let effect_key = format!("{at}.effect");
    let group_key = format!("{at}.group");
    Ok(Class {
        aim: pairs.need(&format!("{at}.goal-time-us"))?,
        deadline: pairs.need(&format!("{at}.deadline-us"))?,
        effect: match pairs.word(&effect_key) {
            "read_like" => Effect::Safe,
            "idempotency_key" => Effect::Keyed,
            "non_idempotent" => Effect::Unsafe,
            other => return Err(format!("setting {effect_key} has the unusable value {other:?}")),
        },
        group: match pairs.word(&group_key) {
            "all" => Group::All,
            "zone" => Group::Zone,
            // The narrowest group is the safe reading of anything else.
            _ => Group::Cell,
        },
        key_ttl: pairs.or(&format!("{at}.key-ttl-us"), 0)?,
        worth: pairs.or(&format!("{at}.worth"), 1.0)?,
        streaming: pairs.or(&format!("{at}.streaming"), false)?,
        ..Class::default()
    })
}

fn plan(pairs: &Pairs, at: &str) -> Result<Plan, String> {
    Ok(Plan {
        rate: pairs.or(&format!("{at}.per-second"), 0.0)?,
        burst: pairs.or(&format!("{at}.depth"), 0.0)?,
        open: pairs.or(&format!("{at}.concurrency"), 0)?,
        ceiling_rate: pairs.or(&format!("{at}.ceiling-rate"), 0.0)?,
        ceiling_burst: pairs.or(&format!("{at}.ceiling-burst"), 0.0)?,
        price: pairs.or(&format!("{at}.price"), 1.0)?,
        beyond_earns: pairs.or(&format!("{at}.beyond-earns"), 0.0)?,
        excess_cost: pairs.or(&format!("{at}.excess-cost"), 0.0)?,
    })
}

fn column(name: &str) -> Load {
    match name {
        "active" => Load::Active,
        "waiting" => Load::Waiting,
        "cpu" => Load::Cpu,
        "avg_ms" => Load::ServiceMs,
        "rps" => Load::Served,
        _ => Load::Other,
    }
}
