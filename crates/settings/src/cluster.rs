//! The tables `[cluster]`, `[probe]` and `[[duty]]` of the appliance's file: instances that share periodic duties.

use crate::ConfigError;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The shortest and longest period of a duty, in milliseconds.
const PERIODS: std::ops::RangeInclusive<u64> = 100..=86_400_000;

/// How this instance takes part in a cluster.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// Its name, unlike all others'.
    pub name: String,
    /// Where it hears gossip (UDP).
    pub listen: SocketAddr,
    /// Where the others reach it, if not at `listen`.
    pub advertise: Option<SocketAddr>,
    /// Where others may be found at first.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The file with the keys that seal the gossip, relative to this file's folder.
    pub key_file: PathBuf,
    /// In front of all keys in the claim store.
    #[serde(default = "prefix")]
    pub prefix: String,
    /// Consul for the claims, if not `consul.address`.
    pub store: Option<SocketAddr>,
    /// The file with the ACL token for it, relative to this file's folder; without one, and without `store`, that of
    /// `consul`.
    pub store_token_file: Option<PathBuf>,
    /// A call to it is given up after this.
    #[serde(default = "store_timeout")]
    pub store_timeout_ms: u64,
    /// Members that step in behind the first for a duty.
    #[serde(default = "standbys")]
    pub standbys: usize,
    /// The most that two instances' clocks may differ.
    #[serde(default = "skew")]
    pub skew_ms: u64,
    /// Between two rounds of gossip.
    #[serde(default = "gossip")]
    pub gossip_ms: u64,
    /// From suspicion to giving a member up.
    #[serde(default = "suspect")]
    pub suspect_ms: u64,
    /// Added to the wall clock: for tests of clocks that differ.
    #[serde(default)]
    pub clock_offset_ms: i64,
}

fn prefix() -> String {
    "snowfield".into()
}
fn store_timeout() -> u64 {
    200
}
fn standbys() -> usize {
    3
}
fn skew() -> u64 {
    300
}
fn gossip() -> u64 {
    100
}
fn suspect() -> u64 {
    1_000
}

/// Active probing of the destinations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Probe {
    /// What is asked, by GET.
    pub path: String,
    /// Between two probes of a destination.
    #[serde(default = "probe_period")]
    pub period_ms: u64,
    /// Within which it must answer 200 to 299.
    #[serde(default = "probe_timeout")]
    pub timeout_ms: u64,
    /// Failures in a row that take a destination out.
    #[serde(default = "down_after")]
    pub down_after: u32,
    /// Successes in a row that bring it back.
    #[serde(default = "up_after")]
    pub up_after: u32,
    /// The largest share of the destinations that probes may take out at once.
    #[serde(default = "most_out")]
    pub most_out: f64,
}

fn probe_period() -> u64 {
    2_000
}
fn probe_timeout() -> u64 {
    500
}
fn down_after() -> u32 {
    2
}
fn up_after() -> u32 {
    2
}
fn most_out() -> f64 {
    0.34
}

/// A duty that is an HTTP call.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duty {
    /// Its name.
    pub name: String,
    /// Once in this span.
    pub period_ms: u64,
    /// What is called, by POST: `http://ADDRESS:PORT/PATH`.
    pub url: String,
    /// Within which it must answer.
    #[serde(default = "duty_timeout")]
    pub timeout_ms: u64,
}

fn duty_timeout() -> u64 {
    1_000
}

/// Checks what can be checked without a look at anything else.
///
/// # Errors
///
/// The text names the setting and what is wrong with it.
pub fn check(cluster: Option<&Cluster>, probe: Option<&Probe>, duties: &[Duty]) -> Result<(), ConfigError> {
    let bad = |text: String| Err(ConfigError(text));
    let named = |name: &str| {
        (1..=64).contains(&name.len())
            && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
    };
    if let Some(cluster) = cluster {
        if !named(&cluster.name) {
            return bad(format!(
                "cluster: name {:?} is not 1 to 64 letters, digits and any of -_.",
                cluster.name
            ));
        }
        let loopback = |a: &&SocketAddr| !a.ip().is_loopback();
        if let Some(at) =
            cluster.peers.iter().chain([&cluster.listen]).chain(&cluster.advertise).find(loopback)
        {
            return bad(format!(
                "cluster: {at} is not on loopback; gossip is sealed, but what it says can be read"
            ));
        }
        if cluster.advertise.unwrap_or(cluster.listen).port() == 0 {
            return bad("cluster: listen needs a port that the others can know; 0 is none".into());
        }
        let prefix = &cluster.prefix;
        if prefix.is_empty() || prefix.starts_with('/') || prefix.ends_with('/') || prefix.len() > 128 {
            return bad(format!(
                "cluster: prefix {prefix:?} must be 1 to 128 bytes without a slash at either end"
            ));
        }
        if !(10..=10_000).contains(&cluster.gossip_ms) || cluster.suspect_ms < 2 * cluster.gossip_ms {
            return bad("cluster: gossip_ms must be 10 to 10000, and suspect_ms twice that at least".into());
        }
        if !(10..=10_000).contains(&cluster.store_timeout_ms) || cluster.skew_ms > 10_000 {
            return bad("cluster: store_timeout_ms must be 10 to 10000, and skew_ms 10000 at most".into());
        }
        if cluster.standbys > 15 {
            return bad(
                "cluster: standbys must be 15 at most: each of them reads the claim store in each round"
                    .into(),
            );
        }
    }
    if let Some(probe) = probe {
        if !probe.path.starts_with('/') || !probe.path.bytes().all(|b| b.is_ascii_graphic()) {
            return bad(format!("probe: path {:?} is no path", probe.path));
        }
        if !PERIODS.contains(&probe.period_ms) || probe.timeout_ms == 0 || probe.timeout_ms > probe.period_ms
        {
            return bad("probe: period_ms must be 100 to 86400000, and timeout_ms 1 to period_ms".into());
        }
        if probe.down_after == 0 || probe.up_after == 0 {
            return bad("probe: down_after and up_after must be 1 at least".into());
        }
        if !(0.0..1.0).contains(&probe.most_out) {
            return bad(
                "probe: most_out must be 0 or above and below 1: probes may never take out all".into()
            );
        }
    }
    for (i, duty) in duties.iter().enumerate() {
        if !named(&duty.name) {
            return bad(format!("duty: name {:?} is not 1 to 64 letters, digits and any of -_.", duty.name));
        }
        if duties[..i].iter().any(|d| d.name == duty.name) {
            return bad(format!("duty {:?} comes twice", duty.name));
        }
        if !PERIODS.contains(&duty.period_ms) || duty.timeout_ms == 0 {
            return bad(format!(
                "duty {:?}: period_ms must be 100 to 86400000, and timeout_ms above 0",
                duty.name
            ));
        }
        let rest = duty.url.strip_prefix("http://");
        let address = rest.and_then(|r| r.split('/').next()).and_then(|a| a.parse::<SocketAddr>().ok());
        if !address.is_some_and(|a| a.ip().is_loopback() && a.port() != 0)
            || !duty.url.bytes().all(|b| b.is_ascii_graphic())
        {
            return bad(format!("duty {:?}: url must be http://ADDRESS:PORT/PATH on loopback", duty.name));
        }
    }
    if let (Some(cluster), Some(least)) =
        (cluster, duties.iter().map(|d| d.period_ms).chain(probe.map(|p| p.period_ms)).min())
        && cluster.store_timeout_ms * 2 > least
    {
        return bad(format!(
            "cluster: store_timeout_ms {} is more than half of the shortest period, {least}: \
             a claim could not be asked about again in the same round",
            cluster.store_timeout_ms
        ));
    }
    Ok(())
}
