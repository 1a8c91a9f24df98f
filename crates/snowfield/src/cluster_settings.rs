//! Derives the settings of the cluster, its periodic jobs and its health checks from the appliance's configuration, and reloads
//! them.

use crate::checked_config::{CheckedConfig, directory, read_text};
use crate::error::Error;
use cluster::{Cluster, Gossip, HealthChecks, HttpJob, LeaseStore, Settings};
use config_node::Node;
use membership::authentication::Keyring;
use settings::appliance::{ApplianceConfig, ClusterConfig, HealthCheckConfig, PeriodicJobConfig};
use std::path::Path;
use std::time::Duration;

/// Limit on concurrent runs of periodic jobs.
const MAX_CONCURRENT_RUNS: usize = 8;
/// Name of an instance whose configuration has no cluster.
const SINGLE_INSTANCE: &str = "alone";

/// The arguments of [`Cluster::start`] that the configuration file determines.
pub struct ClusterArguments {
    /// Settings of this instance as a member of a cluster, or as a single instance.
    pub settings: Settings,
    /// Periodic jobs that the cluster runs; empty if the configuration has none.
    pub jobs: Vec<HttpJob>,
}

impl ClusterArguments {
    /// Derives the arguments from the configuration file `path`. `None` if it has neither a cluster nor periodic jobs nor health
    /// checks.
    ///
    /// # Errors
    ///
    /// The key file cannot be read, or is invalid.
    pub fn from_config(config: &ApplianceConfig, path: &Path) -> Result<Option<Self>, Error> {
        if config.cluster.is_none() && config.health_check.is_none() && config.periodic_jobs.is_empty() {
            return Ok(None);
        }
        let health_checks = config.health_check.as_ref().map(health_checks);
        let settings = match &config.cluster {
            Some(cluster) => member_settings(config, cluster, path, health_checks)?,
            None => single_instance_settings(health_checks),
        };
        Ok(Some(Self { settings, jobs: http_jobs(&config.periodic_jobs) }))
    }
}

fn member_settings(
    config: &ApplianceConfig,
    cluster: &ClusterConfig,
    path: &Path,
    health_checks: Option<HealthChecks>,
) -> Result<Settings, Error> {
    Ok(Settings {
        instance: cluster.name.clone(),
        gossip: Some(Gossip {
            listen: cluster.listen,
            advertise: cluster.advertise.unwrap_or(cluster.listen),
            peers: cluster.peers.clone(),
            keyring: keyring(config, path)?,
            period: Duration::from_millis(cluster.gossip_interval_ms),
            suspicion_timeout: Duration::from_millis(cluster.suspicion_timeout_ms),
        }),
        lease_store: lease_store(config, cluster, path),
        standbys: cluster.standbys,
        max_clock_skew: Duration::from_millis(cluster.max_clock_skew_ms),
        clock_offset_ms: cluster.clock_offset_ms,
        max_concurrent_runs: MAX_CONCURRENT_RUNS,
        health_checks,
    })
}

fn single_instance_settings(health_checks: Option<HealthChecks>) -> Settings {
    Settings {
        instance: SINGLE_INSTANCE.into(),
        gossip: None,
        lease_store: LeaseStore::Local,
        standbys: 0,
        max_clock_skew: Duration::ZERO,
        clock_offset_ms: 0,
        max_concurrent_runs: MAX_CONCURRENT_RUNS,
        health_checks,
    }
}

fn lease_store(config: &ApplianceConfig, cluster: &ClusterConfig, path: &Path) -> LeaseStore {
    // The lease store defaults to the Consul of the endpoint lists, and its token to the token for that Consul. A lease store at
    // a configured address has its own token or none.
    let token_file = match (&cluster.store_token_file, cluster.store) {
        (Some(file), _) => Some(file),
        (None, None) => config.consul.token_file.as_ref(),
        (None, Some(_)) => None,
    };
    LeaseStore::Consul {
        address: cluster.store.unwrap_or(config.consul.address),
        prefix: cluster.prefix.clone(),
        timeout: Duration::from_millis(cluster.store_timeout_ms),
        token_file: token_file.map(|file| directory(path).join(file)),
    }
}

fn health_checks(config: &HealthCheckConfig) -> HealthChecks {
    HealthChecks {
        path: config.path.clone(),
        timeout: Duration::from_millis(config.timeout_ms),
        config: health_check::Config {
            period: Duration::from_millis(config.period_ms),
            unhealthy_threshold: config.unhealthy_threshold,
            healthy_threshold: config.healthy_threshold,
            max_ejected_fraction: config.max_ejected_share,
        },
    }
}

fn http_jobs(jobs: &[PeriodicJobConfig]) -> Vec<HttpJob> {
    let http_job = |job: &PeriodicJobConfig| HttpJob {
        name: job.name.clone(),
        period: Duration::from_millis(job.period_ms),
        url: job.url.clone(),
        timeout: Duration::from_millis(job.timeout_ms),
    };
    jobs.iter().map(http_job).collect()
}

/// Reads the key file that the configuration file `path` names.
///
/// # Errors
///
/// The table `cluster` is missing, or the key file cannot be read or is invalid. The error's text never contains a key.
pub fn keyring(config: &ApplianceConfig, path: &Path) -> Result<Keyring, Error> {
    let Some(cluster) = &config.cluster else {
        return Err(Error::MissingTable { path: path.to_owned(), table: "cluster" });
    };
    let key_file = directory(path).join(&cluster.key_file);
    let text = read_text(&key_file)?;
    Keyring::parse(&text).map_err(|source| Error::Keyring { path: key_file, source })
}

/// Summary of a successful reload, for the log.
struct ReloadSummary {
    /// Number of periodic jobs.
    jobs: usize,
    /// Whether keys were reloaded: only a configuration with a cluster has keys.
    keys: bool,
}

/// Reloads periodic jobs, keys and the clock offset. An invalid file is logged and changes nothing.
pub fn reload(path: &Path, cluster: &Cluster, config_node: Option<&Node>) {
    match try_reload(path, cluster, config_node) {
        Ok(ReloadSummary { jobs, keys }) => {
            tracing::info!(jobs, keys, "configuration reloaded, other changes need a restart");
        }
        Err(error) => tracing::warn!(%error, "reload failed, previous configuration kept in force"),
    }
}

fn try_reload(path: &Path, cluster: &Cluster, config_node: Option<&Node>) -> Result<ReloadSummary, Error> {
    let config = CheckedConfig::read(path)?.config;
    let keys = config.cluster.as_ref().map(|_| keyring(&config, path)).transpose()?;
    let jobs = http_jobs(&config.periodic_jobs);
    let reloaded = ReloadSummary { jobs: jobs.len(), keys: keys.is_some() };
    cluster.set_http_jobs(jobs);
    if let Some(keys) = keys {
        cluster.set_keyring(keys.clone());
        if let Some(node) = config_node {
            node.set_keys(keys);
        }
    }
    cluster.set_clock_offset_ms(config.cluster.as_ref().map_or(0, |cluster| cluster.clock_offset_ms));
    Ok(reloaded)
}
