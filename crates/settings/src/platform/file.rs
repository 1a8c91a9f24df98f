//! Schema of `config.json`. The names of fields are the keys of the file, with hyphens in the tables below `settings`. The module
//! `policy_settings` converts the values to the policy's settings.

use crate::EndpointList;
use serde::Deserialize;

#[derive(Deserialize)]
pub(super) struct File {
    pub(super) name: String,
    pub(super) listen: String,
    pub(super) discovery: String,
    /// Seed of the random number generator, as a hexadecimal number.
    pub(super) seed: String,
    #[serde(default)]
    pub(super) limits: Limits,
    pub(super) counter: Option<String>,
    pub(super) operator: Option<String>,
    /// The endpoint list that the gatekeeper uses until the discovery agent sends one.
    #[serde(default)]
    pub(super) known: EndpointList,
    pub(super) settings: Settings,
}

#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Limits {
    pub(super) sockets: usize,
    pub(super) memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { sockets: 1024, memory_mb: 192 }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Settings {
    /// Number of gatekeepers in the tier.
    pub(super) balancers: u32,
    /// Index of this gatekeeper in the tier, from 0.
    pub(super) me: u32,
    #[serde(default)]
    pub(super) zone: u8,
    #[serde(default = "default_tick_us")]
    pub(super) tick_us: u64,
    pub(super) classes: Vec<Class>,
    #[serde(default)]
    pub(super) contracts: Vec<Plan>,
    #[serde(default)]
    pub(super) bounds: Bounds,
    #[serde(default)]
    pub(super) contract: Contract,
    #[serde(default)]
    pub(super) specifics: Specifics,
    #[serde(default)]
    pub(super) report: Report,
    #[serde(default)]
    pub(super) costs: Costs,
    #[serde(default)]
    pub(super) discovery: String,
    #[serde(default)]
    pub(super) localities: Vec<String>,
    #[serde(default)]
    pub(super) kinds: Vec<String>,
}

fn default_tick_us() -> u64 {
    1000
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Class {
    pub(super) name: String,
    pub(super) goal_time_us: u64,
    #[serde(deserialize_with = "above_zero")]
    pub(super) deadline_us: u64,
    pub(super) effect: String,
    #[serde(default)]
    pub(super) group: String,
    #[serde(default)]
    pub(super) key_ttl_us: u64,
    #[serde(default = "one")]
    pub(super) worth: f64,
    #[serde(default)]
    pub(super) streaming: bool,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Plan {
    pub(super) name: String,
    #[serde(default)]
    pub(super) per_second: f64,
    #[serde(default)]
    pub(super) depth: f64,
    #[serde(default)]
    pub(super) concurrency: u32,
    #[serde(default)]
    pub(super) ceiling_rate: f64,
    #[serde(default)]
    pub(super) ceiling_burst: f64,
    #[serde(default = "one")]
    pub(super) price: f64,
    #[serde(default)]
    pub(super) beyond_earns: f64,
    #[serde(default)]
    pub(super) excess_cost: f64,
}

/// Limits on attempts, and the means that the policy may use: hedging, health checks, cancellation and Retry-After.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Bounds {
    #[serde(deserialize_with = "above_zero")]
    pub(super) max_attempts: u64,
    pub(super) second_copies: bool,
    pub(super) probing: bool,
    pub(super) cancel: bool,
    pub(super) retry_after: bool,
    pub(super) max_retry_after_us: u64,
    pub(super) connect_timeout_us: u64,
    pub(super) keepalive_us: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_attempts: 1,
            second_copies: false,
            probing: false,
            cancel: false,
            retry_after: false,
            max_retry_after_us: 0,
            connect_timeout_us: 250_000,
            keepalive_us: 30_000_000,
        }
    }
}

/// Polling of the endpoint list, and the behaviour of backends: slow start, overload and draining.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Contract {
    pub(super) ask_every_us: u64,
    pub(super) cold_share: f64,
    pub(super) cold_us: u64,
    pub(super) overload_factor: f64,
    pub(super) fall_us: u64,
    pub(super) drain_grace_us: u64,
}

impl Default for Contract {
    fn default() -> Self {
        Self {
            ask_every_us: 10_000_000,
            cold_share: 1.0,
            cold_us: 0,
            overload_factor: 1.0,
            fall_us: 1_000_000,
            drain_grace_us: 0,
        }
    }
}

/// Use of the shared quota counter, and the costs of requests.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Specifics {
    pub(super) may_count: bool,
    pub(super) count_wait_us: u64,
    /// Whether the cost of a request is an estimate that its response corrects.
    pub(super) settles: bool,
    /// Maximum cost of one request in units.
    pub(super) largest: Option<f64>,
}

impl Default for Specifics {
    fn default() -> Self {
        Self { may_count: false, count_wait_us: 50_000, settles: false, largest: None }
    }
}

/// How backends report their load, and the columns of their reports.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct Report {
    pub(super) columns: Vec<String>,
    pub(super) how: String,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Costs {
    pub(super) cross_zone: f64,
}

/// Deserializes a deadline or a number of attempts: a number from 1 to below 10^15, of which the fraction is cut off.
fn above_zero<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Value {
        Number(f64),
        Other(serde::de::IgnoredAny),
    }
    let error = |text: String| Err(serde::de::Error::custom(text));
    match Value::deserialize(deserializer)? {
        Value::Number(value) if (1.0..1e15).contains(&value) => Ok(value as u64),
        Value::Number(value) => error(format!("{value} is not a number from 1 to below 1e15")),
        Value::Other(_) => error("a deadline or max-attempts is not a number".into()),
    }
}
