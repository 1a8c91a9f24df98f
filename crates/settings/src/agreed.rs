//! The table `[agreed]` of the appliance's file, and what a version that the gatekeepers agree on says.

use crate::ConfigError;
use crate::appliance::{Appliance, Plan};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// ms; T may be so long.
const LEASES: std::ops::RangeInclusive<u64> = 500..=60_000;

/// How this instance takes part in agreeing on settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agreed {
    /// Where a voter takes words in (TCP).
    pub listen: Option<SocketAddr>,
    /// The voters, three or five, in the same order in all files.
    pub voters: Vec<Voter>,
    /// The log of a voter, relative to this file's folder.
    #[serde(default = "log")]
    pub log: PathBuf,
    /// T: after it no two gatekeepers act on versions that contradict each other.
    #[serde(default = "lease")]
    pub lease_ms: u64,
    /// The share of each quota that this gatekeeper gives while it does not know the last version.
    #[serde(default = "apart")]
    pub when_apart: f64,
}

/// A voter.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Voter {
    /// Its name, as its own file has it under `[cluster]`.
    pub name: String,
    /// Where this instance reaches it.
    pub address: SocketAddr,
}

fn log() -> PathBuf {
    "agreed/voter.log".into()
}
fn lease() -> u64 {
    3_000
}
fn apart() -> f64 {
    0.5
}

/// What a version says.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Rules {
    #[serde(rename = "plan", default)]
    plans: Vec<Plan>,
}

/// Checks the table against the rest of the file.
///
/// # Errors
///
/// The text names the setting and what is wrong with it.
pub fn check(file: &Appliance) -> Result<(), ConfigError> {
    let Some(agreed) = &file.agreed else { return Ok(()) };
    let bad = |text: String| Err(ConfigError(format!("agreed: {text}")));
    let Some(cluster) = &file.cluster else {
        return bad("it needs [cluster] for this instance's name and the key".into());
    };
    if ![3, 5].contains(&agreed.voters.len()) {
        return bad(format!("three or five voters are needed, not {}", agreed.voters.len()));
    }
    let same = |i: usize, v: &Voter| {
        agreed.voters[..i].iter().any(|other| other.name == v.name || other.address == v.address)
    };
    if let Some((_, twice)) = agreed.voters.iter().enumerate().find(|(i, v)| same(*i, v)) {
        return bad(format!("voter {:?} or its address comes twice", twice.name));
    }
    let addresses = agreed.voters.iter().map(|v| v.address).chain(agreed.listen);
    if let Some(at) = addresses.into_iter().find(|a| !a.ip().is_loopback()) {
        return bad(format!("{at} is not on loopback; what is said is sealed, but can be read"));
    }
    if agreed.voters.iter().any(|v| v.name == cluster.name) != agreed.listen.is_some() {
        return bad("a voter needs listen, and only a voter has it".into());
    }
    if !LEASES.contains(&agreed.lease_ms) || !(0.0..=1.0).contains(&agreed.when_apart) {
        return bad("lease_ms must be 500 to 60000, and when_apart 0 to 1".into());
    }
    Ok(())
}

/// The plans of a version: those of the file, with the numbers that the text gives.
///
/// # Errors
///
/// It cannot be read, names a plan that the file lacks, or its numbers cannot be used.
pub fn plans(file: &Appliance, text: &str) -> Result<Vec<Plan>, ConfigError> {
    let rules: Rules = toml::from_str(text).map_err(|e| ConfigError(e.to_string()))?;
    let bad = |text: String| Err(ConfigError(text));
    let mut plans = file.plans.clone();
    for (i, plan) in rules.plans.iter().enumerate() {
        if rules.plans[..i].iter().any(|p| p.name == plan.name) {
            return bad(format!("plan {:?} comes twice", plan.name));
        }
        let Some(known) = plans.iter_mut().find(|p| p.name == plan.name) else {
            return bad(format!("plan {:?} is none of the file's; a new one needs a restart", plan.name));
        };
        if !(plan.units_per_second > 0.0 && plan.burst > 0.0) {
            return bad(format!("plan {:?} needs units_per_second and burst above 0", plan.name));
        }
        if plan.ceiling_per_second > 0.0 && plan.ceiling_per_second < plan.units_per_second {
            return bad(format!("plan {:?} has its ceiling below its quota", plan.name));
        }
        *known = plan.clone();
    }
    let pairs: Vec<(u16, usize)> = (0..file.classes.len()).map(|c| (0, c)).collect();
    Appliance { plans: plans.clone(), ..file.clone() }.settings(1.0, &pairs)?;
    Ok(plans)
}

/// Of each number the smaller: what neither of the two contradicts. Both are plans of one file.
pub fn stricter(a: &[Plan], b: &[Plan]) -> Vec<Plan> {
    // 0 stands for no ceiling.
    let ceiling = |a: f64, b: f64| if a > 0.0 && b > 0.0 { a.min(b) } else { a.max(b) };
    let both = |(a, b): (&Plan, &Plan)| Plan {
        name: a.name.clone(),
        units_per_second: a.units_per_second.min(b.units_per_second),
        burst: a.burst.min(b.burst),
        ceiling_per_second: ceiling(a.ceiling_per_second, b.ceiling_per_second),
        ceiling_burst: ceiling(a.ceiling_burst, b.ceiling_burst),
        price: a.price,
    };
    a.iter().zip(b).map(both).collect()
}

/// This share of each number; what is given by a gatekeeper that does not know the last version.
pub fn share(plans: &[Plan], share: f64) -> Vec<Plan> {
    // The module wants a rate above 0; one unit a day lets nobody in.
    let least = 1.0 / 86_400.0;
    let part = |p: &Plan| Plan {
        name: p.name.clone(),
        units_per_second: (p.units_per_second * share).max(least),
        burst: (p.burst * share).max(least),
        ceiling_per_second: p.ceiling_per_second * share.max(least),
        ceiling_burst: p.ceiling_burst * share.max(least),
        price: p.price,
    };
    plans.iter().map(part).collect()
}
