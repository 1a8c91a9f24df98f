//! The appliance's file as the settings of the cluster, and what a reload takes from it.

use crate::appliance;
use cluster::{Cluster, Gossip, HealthChecks, HttpJob, LeaseStore, Settings};
use config_node::Node;
use membership::authentication::Keyring;
use settings::appliance::{ApplianceConfig, PeriodicJobConfig};
use std::path::Path;
use std::time::Duration;

/// Runs that may be under way at once.
const RUNNERS: usize = 8;

/// How an instance takes part, and the calls that are duties at first.
pub type Shared = (Settings, Vec<HttpJob>);

/// What the file says of shared duties; `None` where it has none, and nothing is started.
///
/// # Errors
///
/// The key file cannot be read or used.
pub fn settings(file: &ApplianceConfig, folder: &Path) -> Result<Option<Shared>, String> {
    if file.cluster.is_none() && file.health_check.is_none() && file.periodic_jobs.is_empty() {
        return Ok(None);
    }
    let health_checks = file.health_check.as_ref().map(|probe| HealthChecks {
        path: probe.path.clone(),
        timeout: Duration::from_millis(probe.timeout_ms),
        config: health_check::Config {
            period_ms: probe.period_ms,
            unhealthy_threshold: probe.unhealthy_threshold,
            healthy_threshold: probe.healthy_threshold,
            max_ejected_fraction: probe.max_ejected_share,
        },
    });
    let settings = match &file.cluster {
        Some(cluster) => Settings {
            instance: cluster.name.clone(),
            gossip: Some(Gossip {
                listen: cluster.listen,
                advertise: cluster.advertise.unwrap_or(cluster.listen),
                peers: cluster.peers.clone(),
                keyring: keys(file, folder)?,
                period_ms: cluster.gossip_interval_ms,
                suspicion_timeout_ms: cluster.suspicion_timeout_ms,
            }),
            lease_store: LeaseStore::Consul {
                address: cluster.store.unwrap_or(file.consul.address),
                prefix: cluster.prefix.clone(),
                timeout: Duration::from_millis(cluster.store_timeout_ms),
                // A store of its own has its own token; else it is the Consul of the catalogue.
                token_file: match (&cluster.store_token_file, cluster.store) {
                    (Some(file), _) => Some(folder.join(file)),
                    (None, None) => file.consul.token_file.as_ref().map(|file| folder.join(file)),
                    (None, Some(_)) => None,
                },
            },
            standbys: cluster.standbys,
            max_clock_skew_ms: cluster.max_clock_skew_ms,
            clock_offset_ms: cluster.clock_offset_ms,
            max_concurrent_runs: RUNNERS,
            health_checks,
        },
        None => Settings {
            instance: "alone".into(),
            gossip: None,
            lease_store: LeaseStore::Local,
            standbys: 0,
            max_clock_skew_ms: 0,
            clock_offset_ms: 0,
            max_concurrent_runs: RUNNERS,
            health_checks,
        },
    };
    Ok(Some((settings, calls(&file.periodic_jobs))))
}

/// The keys of the file's key file.
///
/// # Errors
///
/// It cannot be read or used; the text holds no key.
pub fn keys(file: &ApplianceConfig, folder: &Path) -> Result<Keyring, String> {
    let Some(cluster) = &file.cluster else { return Err("cluster: there is no such table".into()) };
    let path = folder.join(&cluster.key_file);
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    Keyring::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn calls(duties: &[PeriodicJobConfig]) -> Vec<HttpJob> {
    let call = |d: &PeriodicJobConfig| HttpJob {
        name: d.name.clone(),
        period_ms: d.period_ms,
        url: d.url.clone(),
        timeout: Duration::from_millis(d.timeout_ms),
    };
    duties.iter().map(call).collect()
}

/// Takes the duties and the keys anew from the file; a file that cannot be used changes nothing.
pub fn reload(path: &Path, cluster: &Cluster, agreement: Option<&Node>) {
    let read = || -> Result<(usize, bool), String> {
        let file = appliance::check(path)?.file;
        let keys = match &file.cluster {
            Some(_) => Some(keys(&file, path.parent().unwrap_or(Path::new(".")))?),
            None => None,
        };
        let calls = calls(&file.periodic_jobs);
        let done = (calls.len(), keys.is_some());
        cluster.set_http_jobs(calls);
        if let Some(keys) = keys {
            cluster.set_keyring(keys.clone());
            if let Some(agreement) = agreement {
                agreement.set_keys(keys);
            }
        }
        cluster.set_clock_offset_ms(file.cluster.as_ref().map_or(0, |c| c.clock_offset_ms));
        Ok(done)
    };
    match read() {
        Ok((duties, true)) => {
            tracing::info!("reload: {duties} duties and the cluster's keys taken; the rest needs a restart")
        }
        Ok((duties, false)) => tracing::info!("reload: {duties} duties taken; the rest needs a restart"),
        Err(text) => tracing::warn!("reload: {text}; the old settings stay"),
    }
}
