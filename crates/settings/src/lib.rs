//! What config.json says, read once into the values that the program uses.

pub mod agreed;
pub mod appliance;
pub mod cluster;
mod shape;
mod tables;

pub use shape::Shape;
pub use tables::Tables;

use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// The configuration as the program uses it.
#[derive(Clone, Debug)]
pub struct Config {
    /// The gatekeeper's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if they may.
    pub operator: Option<SocketAddr>,
    /// The discovery agent.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that the process may hold.
    pub memory: usize,
    /// The quota counter.
    pub counter: Option<SocketAddr>,
    /// The list that this gatekeeper last had.
    pub known: HostList,
    /// The module's settings.
    pub settings: policy::Settings,
    /// The most units of one request, where they are named.
    pub largest: Option<f64>,
    /// How long an idle connection lives at a destination.
    pub keepalive: policy::Micros,
    /// Names of the classes, by number.
    pub classes: Vec<String>,
    /// Names of the plans, by number.
    pub plans: Vec<String>,
    /// Names of the zones, by number.
    pub zones: Vec<String>,
    /// Names of the kinds of machine, by number.
    pub kinds: Vec<String>,
}

/// Why a configuration cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

/// A list of destinations in discovery's form.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct HostList {
    /// The list's version.
    #[serde(default)]
    pub rev: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub all: bool,
    /// The entries.
    #[serde(default)]
    pub targets: Vec<Host>,
}

/// One destination in discovery's form.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Host {
    /// Its id, the same at every gatekeeper.
    pub uid: String,
    /// Where it listens, as this gatekeeper reaches it. An entry that leaves may go without.
    #[serde(default)]
    pub endpoint: String,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its kind of machine.
    #[serde(default)]
    pub model: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: u16,
    /// `up`, `draining` or `removed`.
    pub state: String,
    /// A size to compare with other destinations.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// Unix time of its last start in milliseconds; 0 for long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

/// Attempts of one request are counted in a byte.
const MOST_ATTEMPTS: u64 = 250;

/// A deadline or a number of attempts: a number above 0, also where it is written with a point.
fn above_zero<'de, D: serde::Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Value {
        Number(f64),
        Other(serde::de::IgnoredAny),
    }
    let value = match Value::deserialize(from)? {
        Value::Number(value) if (1.0..1e15).contains(&value) => value,
        Value::Number(value) => {
            return Err(serde::de::Error::custom(format!("{value} is no number above 0")));
        }
        Value::Other(_) => {
            return Err(serde::de::Error::custom("a deadline or max-attempts is no number above 0"));
        }
    };
    Ok(value as u64)
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    #[serde(default)]
    limits: FileLimits,
    counter: Option<String>,
    operator: Option<String>,
    #[serde(default)]
    known: HostList,
    settings: FileSettings,
}

#[derive(Deserialize)]
#[serde(default)]
struct FileLimits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for FileLimits {
    fn default() -> Self {
        Self { sockets: 1024, memory_mb: 192 }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct FileSettings {
    balancers: u32,
    me: u32,
    #[serde(default)]
    zone: u8,
    #[serde(default = "millisecond")]
    tick_us: u64,
    classes: Vec<FileClass>,
    #[serde(default)]
    contracts: Vec<FilePlan>,
    #[serde(default)]
    bounds: FileBounds,
    #[serde(default)]
    contract: FileContract,
    #[serde(default)]
    specifics: FileSpecifics,
    #[serde(default)]
    report: FileReport,
    #[serde(default)]
    costs: FileCosts,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    localities: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
}

fn millisecond() -> u64 {
    1000
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct FileClass {
    name: String,
    goal_time_us: u64,
    #[serde(deserialize_with = "above_zero")]
    deadline_us: u64,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    key_ttl_us: u64,
    #[serde(default = "one")]
    worth: f64,
    #[serde(default)]
    streaming: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct FilePlan {
    name: String,
    #[serde(default)]
    per_second: f64,
    #[serde(default)]
    depth: f64,
    #[serde(default)]
    concurrency: u32,
    #[serde(default)]
    ceiling_rate: f64,
    #[serde(default)]
    ceiling_burst: f64,
    #[serde(default = "one")]
    price: f64,
    #[serde(default)]
    beyond_earns: f64,
    #[serde(default)]
    excess_cost: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct FileBounds {
    #[serde(deserialize_with = "above_zero")]
    max_attempts: u64,
    second_copies: bool,
    probing: bool,
    cancel: bool,
    retry_after: bool,
    max_retry_after_us: u64,
    connect_timeout_us: u64,
    keepalive_us: u64,
}

impl Default for FileBounds {
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

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct FileContract {
    ask_every_us: u64,
    cold_share: f64,
    cold_us: u64,
    overload_factor: f64,
    fall_us: u64,
    drain_grace_us: u64,
}

impl Default for FileContract {
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

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct FileSpecifics {
    may_count: bool,
    count_wait_us: u64,
    settles: bool,
    largest: Option<f64>,
}

impl Default for FileSpecifics {
    fn default() -> Self {
        Self { may_count: false, count_wait_us: 50_000, settles: false, largest: None }
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct FileReport {
    columns: Vec<String>,
    how: String,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct FileCosts {
    cross_zone: f64,
}

fn address(what: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError(format!("{what}: {text:?} is no address and port")))
}

/// The reader of JSON recurses: a file that nests without end would use up its stack and end the program.
fn not_too_deep(json: &[u8]) -> Result<(), ConfigError> {
    let deep = json_stream::nests_too_deep(json);
    if deep { Err(ConfigError("it nests too deep".into())) } else { Ok(()) }
}

/// Reads config.json. The bytes are used up in place.
///
/// # Errors
///
/// The text names what is missing or cannot be used.
pub fn parse(json: &mut [u8]) -> Result<Config, ConfigError> {
    not_too_deep(json)?;
    let file: File = simd_json::serde::from_slice(json).map_err(|e| ConfigError(e.to_string()))?;
    let seed = u64::from_str_radix(&file.seed, 16);
    let seed = seed.map_err(|_| ConfigError(format!("seed: {:?} is no hexadecimal number", file.seed)))?;
    let counter = file.counter.as_deref().map(|text| address("counter", text)).transpose()?;
    let operator = file.operator.as_deref().map(|text| address("operator", text)).transpose()?;
    let s = file.settings;
    for (what, names) in [
        ("classes", s.classes.iter().map(|c| c.name.as_str()).collect::<Vec<_>>()),
        ("contracts", s.contracts.iter().map(|p| p.name.as_str()).collect()),
    ] {
        if let Some(twice) = names.iter().enumerate().find(|(at, name)| names[..*at].contains(name)) {
            return Err(ConfigError(format!("{what}: {:?} stands there twice", twice.1)));
        }
    }
    let names = |list: &[FileClass]| list.iter().map(|c| c.name.clone()).collect();
    Ok(Config {
        listen: address("listen", &file.listen)?,
        discovery: address("discovery", &file.discovery)?,
        operator,
        name: file.name,
        seed,
        sockets: file.limits.sockets,
        memory: file.limits.memory_mb.clamp(1, 1 << 20) << 20,
        counter,
        known: file.known,
        largest: s.specifics.largest,
        keepalive: s.bounds.keepalive_us,
        classes: names(&s.classes),
        plans: s.contracts.iter().map(|p| p.name.clone()).collect(),
        zones: s.localities.clone(),
        kinds: s.kinds.clone(),
        settings: module_settings(s, counter.is_some())?,
    })
}

/// The settings in the module's own types. Without a counter's address it is not called.
fn module_settings(s: FileSettings, counter: bool) -> Result<policy::Settings, ConfigError> {
    let settings = policy::Settings {
        gatekeepers: s.balancers,
        gatekeeper_index: s.me,
        zone: s.zone,
        tick: s.tick_us,
        classes: s.classes.into_iter().map(class).collect::<Result<_, _>>()?,
        plans: s.contracts.into_iter().map(plan).collect(),
        max_attempts: s.bounds.max_attempts.min(MOST_ATTEMPTS) as u32,
        hedging: s.bounds.second_copies,
        health_checks: s.bounds.probing,
        cancellation: s.bounds.cancel,
        max_retry_after: if s.bounds.retry_after { s.bounds.max_retry_after_us } else { 0 },
        connect_timeout: s.bounds.connect_timeout_us,
        polls_endpoints: s.discovery == "ask",
        poll_interval: s.contract.ask_every_us,
        load_reporting: match s.report.how.as_str() {
            "inline" => policy::LoadReporting::Inline,
            "on_probe" => policy::LoadReporting::OnHealthCheck,
            _ => policy::LoadReporting::Off,
        },
        load_metrics: s.report.columns.iter().map(|c| column(c)).collect(),
        slow_start_share: s.contract.cold_share,
        slow_start_duration: s.contract.cold_us,
        overload_factor: s.contract.overload_factor,
        overload_duration: s.contract.fall_us,
        drain_grace: s.contract.drain_grace_us,
        shared_counter: s.specifics.may_count && counter,
        counter_timeout: s.specifics.count_wait_us,
        estimated_costs: s.specifics.settles,
        max_cost: s.specifics.largest.unwrap_or(1.0),
        cross_zone_cost: s.costs.cross_zone,
        weighted_backends: false,
    };
    settings.validate().map_err(|e| ConfigError(e.to_string()))?;
    Ok(settings)
}

fn class(c: FileClass) -> Result<policy::RequestClass, ConfigError> {
    Ok(policy::RequestClass {
        latency_objective: c.goal_time_us,
        deadline: c.deadline_us,
        idempotency: match c.effect.as_str() {
            "read_like" => policy::Idempotency::Idempotent,
            "idempotency_key" => policy::Idempotency::Keyed,
            "non_idempotent" => policy::Idempotency::NonIdempotent,
            other => return Err(ConfigError(format!("class {}: unknown effect {other:?}", c.name))),
        },
        dedup_scope: match c.group.as_str() {
            "all" => policy::DedupScope::All,
            "zone" => policy::DedupScope::Zone,
            // The narrowest group is the safe reading of anything else.
            _ => policy::DedupScope::Cell,
        },
        idempotency_key_ttl: c.key_ttl_us,
        priority_weight: c.worth,
        streaming: c.streaming,
        ..policy::RequestClass::default()
    })
}

fn plan(p: FilePlan) -> policy::Plan {
    policy::Plan {
        rate: p.per_second,
        burst: p.depth,
        max_in_flight: p.concurrency,
        ceiling_rate: p.ceiling_rate,
        ceiling_burst: p.ceiling_burst,
        priority_factor: p.price,
        beyond_quota_earns: p.beyond_earns,
        beyond_quota_costs: p.excess_cost,
    }
}

fn column(name: &str) -> policy::LoadMetric {
    match name {
        "active" => policy::LoadMetric::InFlight,
        "waiting" => policy::LoadMetric::Queued,
        "cpu" => policy::LoadMetric::Cpu,
        "avg_ms" => policy::LoadMetric::ServiceTimeMillis,
        "rps" => policy::LoadMetric::Throughput,
        _ => policy::LoadMetric::Other,
    }
}
