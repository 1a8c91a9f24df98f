//! What `/v1/health/service/NAME` says, by Consul's public documentation of the health API and of checks.
//!
//! One query without `passing` brings every registered instance with all its checks, so that registration and health
//! are of one moment. The catalogue's page of the same service says nothing that this one does not.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// The most instances of one answer.
pub const MAX_INSTANCES: usize = 65_536;
/// Keys of `Service.Meta` that are read.
const CAPACITY: &str = "snowfield-capacity";
const STARTED: &str = "snowfield-started-ms";

/// Where an instance stands, the worst that any of its checks or its node's says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, Deserialize)]
pub enum HealthStatus {
    /// All checks pass, or there are none.
    Passing,
    /// Some check warns.
    Warning,
    /// Some check fails.
    Critical,
    /// An operator has put the service or its node into maintenance.
    Maintenance,
    /// The node's own check (`serfHealth`) fails: the machine is thought gone.
    NodeDown,
}

impl HealthStatus {
    /// Its name in the log and the console.
    pub fn name(self) -> &'static str {
        match self {
            Self::Passing => "passing",
            Self::Warning => "warning",
            Self::Critical => "critical",
            Self::Maintenance => "in maintenance",
            Self::NodeDown => "on a node that is down",
        }
    }
}

/// One instance of a service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, Deserialize)]
pub struct Instance {
    /// Its node's name and its service id: unique within a data centre.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub health: HealthStatus,
    /// Its weight as it stands (`Service.Weights`), times the capacity of its `Meta`.
    pub weight: f64,
    /// When it started, in Unix milliseconds, if its `Meta` says.
    #[serde(rename = "started")]
    pub started_at: Option<u64>,
}

/// What an answer holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthResponse {
    /// The instances, by id.
    pub instances: Vec<Instance>,
    /// Those that cannot be used, with why.
    pub invalid: Vec<(String, String)>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Row {
    node: Node,
    service: Service,
    #[serde(default)]
    checks: Option<Vec<Check>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Node {
    node: String,
    #[serde(default)]
    address: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    port: u32,
    #[serde(default)]
    weights: Option<Weights>,
    #[serde(default)]
    meta: Option<BTreeMap<String, String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Weights {
    passing: f64,
    warning: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Check {
    #[serde(rename = "CheckID", default)]
    id: String,
    #[serde(default)]
    status: String,
}

/// Reads the body of an answer.
///
/// # Errors
///
/// It is not what the health page answers, or names too many instances. The text says where.
pub fn read(body: &[u8]) -> Result<HealthResponse, String> {
    let rows: Vec<Row> = serde_json::from_slice(body).map_err(|e| format!("unreadable: {e}"))?;
    if rows.len() > MAX_INSTANCES {
        return Err(format!("{} instances, more than {MAX_INSTANCES}", rows.len()));
    }
    let mut answer = HealthResponse::default();
    for row in rows {
        let id = format!("{}/{}", row.node.node, row.service.id);
        match instance(&id, &row) {
            Ok(instance) => answer.instances.push(instance),
            Err(why) => answer.invalid.push((id, why)),
        }
    }
    answer.instances.sort_by(|a, b| a.id.cmp(&b.id));
    // One id names one instance; of two the worse one counts.
    answer.instances.dedup_by(|b, a| {
        let same = a.id == b.id;
        if same && b.health > a.health {
            std::mem::swap(a, b);
        }
        same
    });
    Ok(answer)
}

fn instance(id: &str, row: &Row) -> Result<Instance, String> {
    let Service { address, port, weights, meta, .. } = &row.service;
    // A service without an address of its own listens at its node's. Names are not resolved: there is no DNS here.
    let text = if address.is_empty() { &row.node.address } else { address };
    let ip: IpAddr = text.parse().map_err(|_| format!("no usable address {text:?}"))?;
    let port =
        u16::try_from(*port).ok().filter(|&p| p > 0).ok_or_else(|| format!("no usable port {port}"))?;
    let checks = row.checks.as_deref().unwrap_or_default();
    let health = checks.iter().map(health).max().unwrap_or(HealthStatus::Passing);
    let weight = match (weights, health) {
        (None, _) => 1.0,
        (Some(weights), HealthStatus::Warning) => weights.warning,
        (Some(weights), _) => weights.passing,
    };
    let told = |key: &str| meta.as_ref().and_then(|m| m.get(key));
    let capacity: f64 = match told(CAPACITY) {
        None => 1.0,
        Some(text) => text
            .parse()
            .ok()
            .filter(|c: &f64| (0.01..=1_000.0).contains(c))
            .ok_or_else(|| format!("{CAPACITY} is {text:?}, and not 0.01 to 1000"))?,
    };
    let weight = weight * capacity;
    if !(0.0..=65_535_000.0).contains(&weight) {
        return Err(format!("no usable weight {weight}"));
    }
    let started = match told(STARTED) {
        None => None,
        Some(text) => Some(text.parse().map_err(|_| format!("{STARTED} is {text:?}, and no time"))?),
    };
    Ok(Instance {
        id: id.to_owned(),
        address: SocketAddr::new(ip, port),
        health,
        weight,
        started_at: started,
    })
}

fn health(check: &Check) -> HealthStatus {
    match check.status.as_str() {
        "passing" => HealthStatus::Passing,
        "warning" => HealthStatus::Warning,
        // Maintenance is a failing check with a reserved name; so is the node's own.
        _ if check.id == "_node_maintenance" || check.id.starts_with("_service_maintenance:") => {
            HealthStatus::Maintenance
        }
        _ if check.id == "serfHealth" => HealthStatus::NodeDown,
        _ => HealthStatus::Critical,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(id: &str, service: &str, checks: &[(&str, &str)]) -> String {
        let checks: Vec<String> = checks
            .iter()
            .map(|(id, status)| format!(r#"{{"CheckID":"{id}","Status":"{status}"}}"#))
            .collect();
        format!(
            r#"{{"Node":{{"Node":"n","Address":"127.0.0.1"}},"Service":{{"ID":"{id}",{service}}},"Checks":[{}]}}"#,
            checks.join(",")
        )
    }

    fn one(service: &str, checks: &[(&str, &str)]) -> HealthResponse {
        read(format!("[{}]", row("x", service, checks)).as_bytes()).expect("an answer")
    }

    #[test]
    fn the_worst_check_counts_and_reserved_names_have_their_meaning() {
        for (checks, health) in [
            (&[][..], HealthStatus::Passing),
            (&[("serfHealth", "passing"), ("c", "passing")], HealthStatus::Passing),
            (&[("serfHealth", "passing"), ("c", "warning")], HealthStatus::Warning),
            (&[("c", "critical"), ("d", "warning")], HealthStatus::Critical),
            (&[("c", "something new")], HealthStatus::Critical),
            (&[("_service_maintenance:x", "critical"), ("c", "critical")], HealthStatus::Maintenance),
            (&[("_node_maintenance", "critical")], HealthStatus::Maintenance),
            (&[("serfHealth", "critical"), ("c", "passing")], HealthStatus::NodeDown),
        ] {
            assert_eq!(one(r#""Port":80"#, checks).instances[0].health, health, "{checks:?}");
        }
    }

    #[test]
    fn weights_follow_the_state_and_meta_scales_them() {
        let weights = r#""Port":80,"Weights":{"Passing":3,"Warning":1}"#;
        assert_eq!(one(weights, &[]).instances[0].weight, 3.0);
        assert_eq!(one(weights, &[("c", "warning")]).instances[0].weight, 1.0);
        let meta = r#""Port":80,"Weights":{"Passing":2,"Warning":1},"Meta":{"snowfield-capacity":"1.5","snowfield-started-ms":"17"}"#;
        let instance = &one(meta, &[]).instances[0];
        assert_eq!((instance.weight, instance.started_at), (3.0, Some(17)));
        assert_eq!(one(r#""Port":80"#, &[]).instances[0].weight, 1.0);
    }

    #[test]
    fn what_cannot_be_used_is_left_out_by_name_and_the_rest_stays() {
        let rows = [
            row("good", r#""Address":"127.0.0.9","Port":80"#, &[]),
            row("name", r#""Address":"loans.example.com","Port":80"#, &[]),
            row("port", r#""Port":0"#, &[]),
            row("large", r#""Port":70000"#, &[]),
            row("meta", r#""Port":80,"Meta":{"snowfield-capacity":"much"}"#, &[]),
            row("time", r#""Port":80,"Meta":{"snowfield-started-ms":"-1"}"#, &[]),
            row("weight", r#""Port":80,"Weights":{"Passing":-1,"Warning":1}"#, &[]),
        ];
        let answer = read(format!("[{}]", rows.join(",")).as_bytes()).expect("an answer");
        assert_eq!(answer.instances.len(), 1);
        let names: Vec<&str> = answer.invalid.iter().map(|(id, _)| id.as_str()).collect();
        assert_eq!(names, ["n/name", "n/port", "n/large", "n/meta", "n/time", "n/weight"]);
    }

    #[test]
    fn of_two_with_one_id_the_worse_counts() {
        let rows = [row("x", r#""Port":80"#, &[]), row("x", r#""Port":81"#, &[("c", "critical")])];
        let answer = read(format!("[{}]", rows.join(",")).as_bytes()).expect("an answer");
        assert_eq!(answer.instances.len(), 1);
        assert_eq!(answer.instances[0].health, HealthStatus::Critical);
    }

    #[test]
    fn answers_survive_garbage_and_a_cut_one_is_none() {
        let body = format!(
            "[{}]",
            row("x", r#""Port":80,"Weights":{"Passing":3,"Warning":1}"#, &[("c", "passing")])
        );
        for end in 0..body.len() {
            assert!(read(&body.as_bytes()[..end]).is_err(), "{end}");
        }
        fuzz_inputs::survives_garbage(body.as_bytes(), |pieces| drop(read(&pieces.concat())));
    }
}
