//! The appliance's file under `deploy/`: where it listens, its descriptions, lenders and plans, and Consul.

use crate::{ConfigError, cluster};

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// How the log's lines look.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum LogForm {
    /// Words.
    #[default]
    Plain,
    /// JSON, with the machine's monotonic clock.
    Json,
}

/// The file as the program uses it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Appliance {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the console asks for the live status; on loopback only.
    pub status: Option<SocketAddr>,
    /// How the log's lines look; `SNOWFIELD_LOG` overrides it.
    #[serde(default)]
    pub log: LogForm,
    /// The OpenAPI descriptions, relative to the file's folder.
    pub descriptions: Vec<PathBuf>,
    /// The header that names the lender.
    pub lender_header: String,
    /// Consul.
    pub consul: Consul,
    /// How the quotas are shared with other gatekeepers.
    #[serde(default)]
    pub quota: Quota,
    /// Bounds and spans.
    #[serde(default)]
    pub limits: Limits,
    /// How destinations start.
    #[serde(default)]
    pub fleet: Fleet,
    /// Further services.
    #[serde(rename = "service", default)]
    pub services: Vec<Service>,
    /// This program's own registration.
    pub register: Option<Register>,
    /// The instances that share periodic duties.
    pub cluster: Option<cluster::Cluster>,
    /// How settings are agreed on with the other gatekeepers.
    pub agreed: Option<crate::agreed::Agreed>,
    /// Active probing of the destinations.
    pub probe: Option<cluster::Probe>,
    /// Duties that are HTTP calls.
    #[serde(rename = "duty", default)]
    pub duties: Vec<cluster::Duty>,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The plans.
    #[serde(rename = "plan")]
    pub plans: Vec<Plan>,
    /// The lenders.
    #[serde(rename = "lender")]
    pub lenders: Vec<Lender>,
}

/// Where the destinations come from.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Consul {
    /// Its HTTP API.
    pub address: SocketAddr,
    /// Further agents, asked in this order while the first does not answer.
    #[serde(default)]
    pub agents: Vec<SocketAddr>,
    /// The service whose instances are the destinations of routes that name none.
    pub service: String,
    /// Only instances with this tag.
    pub tag: Option<String>,
    /// Consul's filter expression.
    pub filter: Option<String>,
    /// The file with the ACL token, relative to this file's folder; read anew when it changes.
    pub token_file: Option<PathBuf>,
    /// Datacentre, if not the agent's own.
    pub datacenter: Option<String>,
    /// Namespace.
    pub namespace: Option<String>,
    /// Partition.
    pub partition: Option<String>,
    /// Answers may come from a server that has heard from its leader this lately; without it the leader is asked.
    pub stale_ms: Option<u64>,
    /// How long a blocking query may stay open.
    #[serde(default = "consul_wait")]
    pub wait_ms: u64,
    /// The worst state that takes work.
    #[serde(default)]
    pub takes_work: TakesWork,
    /// The file that keeps the last good list, relative to this file's folder.
    pub list_file: Option<PathBuf>,
    /// An older one is not used.
    #[serde(default = "list_age")]
    pub list_max_age_s: u64,
    /// An instance that comes back for the second time is held for this, and each further time for twice as long ...
    #[serde(default = "flap_hold")]
    pub flap_hold_ms: u64,
    /// ... up to this.
    #[serde(default = "flap_longest")]
    pub flap_longest_ms: u64,
    /// Where this share of the list vanishes in one answer, the loss is held ...
    #[serde(default = "sudden_share")]
    pub sudden_share: f64,
    /// ... for this long, for those that still answer.
    #[serde(default = "sudden_hold")]
    pub sudden_hold_ms: u64,
}

/// The worst state that takes work.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TakesWork {
    /// All checks pass.
    #[default]
    Passing,
    /// Some check may warn.
    Warning,
}

fn consul_wait() -> u64 {
    10_000
}
fn list_age() -> u64 {
    86_400
}
fn flap_hold() -> u64 {
    2_000
}
fn flap_longest() -> u64 {
    60_000
}
fn sudden_share() -> f64 {
    0.5
}
fn sudden_hold() -> u64 {
    15_000
}

/// A further service, for routes that name it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Only instances with this tag.
    pub tag: Option<String>,
    /// Consul's filter expression.
    pub filter: Option<String>,
}

/// This program's own registration with the first agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Register {
    /// The service's name.
    pub name: String,
    /// Its id, unlike that of any other instance.
    pub id: String,
    /// Where clients reach it, if not at `listen`.
    pub address: Option<SocketAddr>,
    /// Its check fails after this without a word.
    #[serde(default = "register_ttl")]
    pub ttl_ms: u64,
}

fn register_ttl() -> u64 {
    10_000
}

/// How the quotas are shared.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quota {
    /// Gatekeepers that share the quotas.
    pub gatekeepers: u32,
    /// This one's number, from 0.
    pub number: u32,
    /// The quota counter; without one each gatekeeper keeps to its even part.
    pub counter: Option<SocketAddr>,
    /// A call to it is given up after this.
    pub counter_wait_ms: u64,
    /// The longest advice on when to come back.
    pub longest_retry_after_ms: u64,
}

impl Default for Quota {
    fn default() -> Self {
        Self { gatekeepers: 1, number: 0, counter: None, counter_wait_ms: 30, longest_retry_after_ms: 60_000 }
    }
}

/// Bounds and spans.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The most bytes of a request's body.
    pub body_bytes: usize,
    /// The most bytes of a destination's answer.
    pub answer_bytes: usize,
    /// Connections on both sides together.
    pub sockets: usize,
    /// A connection not made by then has failed.
    pub connect_ms: u64,
    /// An idle connection to a destination is closed after this.
    pub idle_ms: u64,
    /// Attempts of one operation.
    pub route_steps: u32,
    /// A request must be whole, and an answer taken, by then.
    pub patience_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 65_536,
            answer_bytes: 1_048_576,
            sockets: 1024,
            connect_ms: 250,
            idle_ms: 15_000,
            route_steps: 3,
            patience_ms: 10_000,
        }
    }
}

/// How destinations start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// The share of its capacity that a destination starts with, at least.
    pub cold_share: f64,
    /// It is warm after this at most; 0 means at once.
    pub cold_ms: u64,
    /// A cold one sent more than this multiple of what it can do ...
    pub overload_factor: f64,
    /// ... for this long falls over.
    pub fall_ms: u64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self { cold_share: 1.0, cold_ms: 0, overload_factor: 2.0, fall_ms: 1_000 }
    }
}

/// What a repeat may do.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Nothing: requests of the class may be tried again and copied.
    Safe,
    /// Harm: a request that may have run is never sent again.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name in the descriptions.
    pub name: String,
    /// What a repeat may do.
    pub repeat: Repeat,
    /// An answer is wanted by then.
    pub wanted_ms: u64,
    /// It is given up then.
    pub deadline_ms: u64,
    /// The most attempts of one request, if not `limits.route_steps`.
    pub attempts: Option<u32>,
    /// An attempt is given up after this, the making of its connection included; without it, when the client gives up.
    pub attempt_ms: Option<u64>,
    /// A second copy may be sent after this; without it, after a part of `wanted_ms`.
    pub copy_after_ms: Option<u64>,
    /// Worth of one unit.
    #[serde(default = "one")]
    pub worth: f64,
}

fn one() -> f64 {
    1.0
}

/// A plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second of each of its lenders.
    pub units_per_second: f64,
    /// The most units that a lender may use at once.
    pub burst: f64,
    /// Hard ceiling in units a second; 0 means none.
    #[serde(default)]
    pub ceiling_per_second: f64,
    /// The most units that the ceiling lets through at once.
    #[serde(default)]
    pub ceiling_burst: f64,
    /// Factor on the worth.
    #[serde(default = "one")]
    pub price: f64,
}

/// A lender.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lender {
    /// Its name, as the header gives it.
    pub name: String,
    /// The name of its plan.
    pub plan: String,
}

/// Reads the file.
///
/// # Errors
///
/// The text names what is missing or cannot be used.
pub fn parse(text: &str) -> Result<Appliance, ConfigError> {
    let file: Appliance = toml::from_str(text).map_err(|e| ConfigError(e.to_string()))?;
    let bad = |text: String| Err(ConfigError(text));
    let fine = |problem: Option<String>| problem.map_or(Ok(()), |text| Err(ConfigError(text)));
    if let Some(status) = file.status.filter(|s| !s.ip().is_loopback()) {
        return bad(format!("status: {status} is not on loopback, and the status has no access control"));
    }
    if file.descriptions.is_empty() {
        return bad("descriptions: at least one is needed".into());
    }
    let header = !file.lender_header.is_empty()
        && file.lender_header.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b));
    if !header {
        return bad(format!("lender_header: {:?} is no name of a header", file.lender_header));
    }
    let names = |list: Vec<&str>, what: &str| {
        let twice = list.iter().enumerate().find(|(i, n)| list[..*i].contains(n)).map(|(_, n)| *n);
        match (twice, list.iter().any(|n| n.is_empty())) {
            (Some(name), _) => fine(Some(format!("{what} {name:?} comes twice"))),
            (None, true) => fine(Some(format!("a {what} has no name"))),
            (None, false) => fine(None),
        }
    };
    names(file.classes.iter().map(|c| c.name.as_str()).collect(), "class")?;
    names(file.plans.iter().map(|p| p.name.as_str()).collect(), "plan")?;
    names(file.lenders.iter().map(|l| l.name.as_str()).collect(), "lender")?;
    if file.lenders.is_empty() {
        return bad("lender: at least one is needed".into());
    }
    for lender in &file.lenders {
        if file.plan_number(&lender.plan).is_none() {
            return bad(format!("lender {:?} has the unknown plan {:?}", lender.name, lender.plan));
        }
    }
    if let Some(plan) = file.plans.iter().find(|p| !(p.units_per_second > 0.0 && p.burst > 0.0)) {
        return bad(format!("plan {:?} needs units_per_second and burst above 0", plan.name));
    }
    if file.limits.sockets < 128 || file.limits.route_steps == 0 || file.limits.route_steps > 16 {
        return bad("limits: sockets must be 128 at least, and route_steps 1 to 16".into());
    }
    let findings: Vec<String> =
        file.timings().iter().flat_map(timing::Timing::check).map(|f| f.to_string()).collect();
    if !findings.is_empty() {
        return bad(format!("the timing of the classes cannot be kept:\n  {}", findings.join("\n  ")));
    }
    check_consul(&file)?;
    cluster::check(file.cluster.as_ref(), file.probe.as_ref(), &file.duties)?;
    crate::agreed::check(&file)?;
    let pairs: Vec<(u16, usize)> = (0..file.classes.len()).map(|c| (0, c)).collect();
    file.settings(1.0, &pairs)?;
    Ok(file)
}

fn check_consul(file: &Appliance) -> Result<(), ConfigError> {
    let bad = |text: String| Err(ConfigError(text));
    let consul = &file.consul;
    if consul.service.is_empty() || consul.wait_ms == 0 || consul.wait_ms > 600_000 {
        return bad("consul: service must have a name, and wait_ms must be 1 to 600000".into());
    }
    if consul.agents.contains(&consul.address) || consul.agents.len() > 8 {
        return bad("consul: agents must be 8 at most, and address is not named again".into());
    }
    if !(consul.sudden_share > 0.0 && consul.sudden_share <= 1.0) {
        return bad("consul: sudden_share must be above 0 and at most 1".into());
    }
    if consul.flap_hold_ms > consul.flap_longest_ms || consul.sudden_hold_ms > 600_000 {
        return bad(
            "consul: flap_longest_ms must be flap_hold_ms at least, and sudden_hold_ms 600000 at most".into(),
        );
    }
    let services: Vec<&str> = file.service_names();
    if let Some(i) =
        (1..services.len()).find(|&i| services[i].is_empty() || services[..i].contains(&services[i]))
    {
        return bad(format!("service {:?} comes twice or has no name", services[i]));
    }
    if services.len() > 32 {
        return bad("service: 32 are served at most".into());
    }
    if let Some(register) = &file.register {
        if register.name.is_empty() || register.id.is_empty() || register.ttl_ms < 1_000 {
            return bad("register: name and id are needed, and ttl_ms must be 1000 at least".into());
        }
        if register.address.unwrap_or(file.listen).port() == 0 {
            return bad("register: listen has no port that clients could know; name an address".into());
        }
    }
    Ok(())
}

impl Appliance {
    /// The names of the services, the file's own first.
    pub fn service_names(&self) -> Vec<&str> {
        std::iter::once(self.consul.service.as_str())
            .chain(self.services.iter().map(|s| s.name.as_str()))
            .collect()
    }

    /// What is stated of the timing of each class.
    pub fn timings(&self) -> Vec<timing::Timing> {
        let timing = |c: &Class| timing::Timing {
            class: c.name.clone(),
            repeatable: c.repeat == Repeat::Safe,
            wanted: c.wanted_ms,
            deadline: c.deadline_ms,
            connect: self.limits.connect_ms,
            most_attempts: self.limits.route_steps,
            attempts: c.attempts,
            attempt: c.attempt_ms,
            copy_after: c.copy_after_ms,
        };
        self.classes.iter().map(timing).collect()
    }

    /// The number of a class.
    pub fn class_number(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name)
    }

    /// The number of a plan.
    pub fn plan_number(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|p| p.name == name)
    }

    /// The module's settings where one request takes so many units at most. The module's classes are these pairs of
    /// service and class.
    ///
    /// # Errors
    ///
    /// The module cannot work by them.
    pub fn settings(&self, largest: f64, pairs: &[(u16, usize)]) -> Result<policy::Settings, ConfigError> {
        let settings = policy::Settings {
            gatekeepers: self.quota.gatekeepers,
            gatekeeper_index: self.quota.number,
            tick: 4_000,
            classes: pairs
                .iter()
                .map(|&(service, c)| policy::RequestClass { service, ..class(&self.classes[c]) })
                .collect(),
            weighted_backends: true,
            plans: self.plans.iter().map(plan).collect(),
            max_attempts: self.limits.route_steps,
            hedging: true,
            cancellation: true,
            max_retry_after: self.quota.longest_retry_after_ms * 1000,
            connect_timeout: self.limits.connect_ms * 1000,
            slow_start_share: self.fleet.cold_share,
            slow_start_duration: self.fleet.cold_ms * 1000,
            overload_factor: self.fleet.overload_factor,
            overload_duration: self.fleet.fall_ms * 1000,
            drain_grace: 1_000_000,
            shared_counter: self.quota.counter.is_some(),
            counter_timeout: self.quota.counter_wait_ms * 1000,
            max_cost: largest,
            ..policy::Settings::default()
        };
        settings.validate().map_err(|e| ConfigError(e.to_string()))?;
        Ok(settings)
    }
}

fn class(c: &Class) -> policy::RequestClass {
    policy::RequestClass {
        latency_objective: c.wanted_ms * 1000,
        deadline: c.deadline_ms * 1000,
        idempotency: match c.repeat {
            Repeat::Safe => policy::Idempotency::Idempotent,
            Repeat::Unsafe => policy::Idempotency::NonIdempotent,
        },
        dedup_scope: policy::DedupScope::All,
        priority_weight: c.worth,
        max_attempts: c.attempts.unwrap_or(0),
        attempt_timeout: c.attempt_ms.unwrap_or(0).saturating_mul(1000),
        hedge_after: c.copy_after_ms.unwrap_or(0).saturating_mul(1000),
        ..policy::RequestClass::default()
    }
}

fn plan(p: &Plan) -> policy::Plan {
    let times = if weakened::breaks("ceilings") { 4.0 } else { 1.0 };
    policy::Plan {
        rate: p.units_per_second * times,
        burst: p.burst * times,
        ceiling_rate: p.ceiling_per_second * times,
        ceiling_burst: p.ceiling_burst * times,
        priority_factor: p.price,
        ..policy::Plan::default()
    }
}

/// A lender's customer number: the same at every gatekeeper, whatever the order of its file (FNV-1a).
pub fn customer_number(lender: &str) -> u64 {
    lender
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}
