//! The appliance's watches on Consul services, and the registration of this process in Consul.

use crate::backends::Backends;
use crate::checked_config::directory;
use crate::error::Error;
use catalogue::{HealthStatus, StabilityConfig};
use consul::{
    CacheFile, ConsulConfig, LastAnswers, NUMBERS_PER_SERVICE, RegistrationHandle, ServiceWatch, TokenFile,
    WatchConfig,
};
use link::lock_or_abort;
use settings::appliance::{self, ApplianceConfig, MinimumHealth, RegistrationConfig};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Derives the configuration of the Consul client. The token file is relative to the directory of the configuration file `path`.
fn consul_config(config: &appliance::ConsulConfig, path: &Path) -> ConsulConfig {
    ConsulConfig {
        agents: std::iter::once(config.address).chain(config.further_agents.iter().copied()).collect(),
        token_file: config.token_file.as_ref().map(|name| directory(path).join(name)),
        datacenter: config.datacenter.clone(),
        namespace: config.namespace.clone(),
        partition: config.partition.clone(),
        max_staleness: config.max_stale_ms.map(Duration::from_millis),
        blocking_wait: Duration::from_millis(config.wait_ms),
    }
}

/// Creates the watches on all services, and passes the cached endpoint lists to the backends.
///
/// # Errors
///
/// The token file is missing or invalid.
pub fn create(
    backends: &Arc<Backends>,
    config: &ApplianceConfig,
    path: &Path,
    last_answers: &Arc<LastAnswers>,
) -> Result<(), Error> {
    let consul_config = consul_config(&config.consul, path);
    TokenFile::new(consul_config.token_file.clone()).read().map_err(Error::ConsulToken)?;
    let cache = config.consul.cache_file.as_ref().map(|name| {
        let services = config.service_names().into_iter().map(str::to_owned);
        let max_age = Duration::from_secs(config.consul.cache_max_age_s);
        Arc::new(CacheFile::open(directory(path).join(name), max_age, services))
    });
    let watches = watch_configs(config).into_iter().enumerate().map(|(service, watch_config)| {
        let (notified_backends, busy_backends) = (backends.clone(), backends.busy_backends());
        ServiceWatch::new(
            consul_config.clone(),
            watch_config,
            last_answers.clone(),
            cache.clone(),
            Box::new(move |list| notified_backends.set_list(service, list)),
            Box::new(move |number| lock_or_abort(&busy_backends).contains(&number.0)),
        )
    });
    backends.set_watches(watches.collect());
    Ok(())
}

/// Returns the configuration of each watch. Each service has a separate range of backend numbers.
fn watch_configs(config: &ApplianceConfig) -> Vec<WatchConfig> {
    let consul = &config.consul;
    let default_service = (&consul.service, &consul.tag, &consul.filter);
    let further_services =
        config.services.iter().map(|service| (&service.name, &service.tag, &service.filter));
    let services = std::iter::once(default_service).chain(further_services).enumerate();
    services
        .map(|(index, (name, tag, filter))| WatchConfig {
            service: name.clone(),
            tag: tag.clone(),
            filter: filter.clone(),
            stability: stability(consul),
            last_number: index as u32 * NUMBERS_PER_SERVICE,
        })
        .collect()
}

fn stability(config: &appliance::ConsulConfig) -> StabilityConfig {
    StabilityConfig {
        minimum_health: match config.minimum_health {
            MinimumHealth::Passing => HealthStatus::Passing,
            MinimumHealth::Warning => HealthStatus::Warning,
        },
        flap_suppression: Duration::from_millis(config.flap_suppression_ms),
        max_flap_suppression: Duration::from_millis(config.max_flap_suppression_ms),
        sudden_loss_share: config.sudden_loss_share,
        sudden_loss_retention: Duration::from_millis(config.sudden_loss_retention_ms),
        ..StabilityConfig::default()
    }
}

/// Starts to register this process in Consul. The token file is relative to the directory of the configuration file `path`.
///
/// # Errors
///
/// No thread can be started.
pub fn register(
    registration: &RegistrationConfig,
    config: &ApplianceConfig,
    path: &Path,
) -> Result<RegistrationHandle, Error> {
    let RegistrationConfig { name, id, address, ttl_ms } = registration;
    let registration = consul::RegistrationConfig {
        name: name.clone(),
        id: id.clone(),
        address: address.unwrap_or(config.listen),
        ttl: Duration::from_millis(*ttl_ms),
    };
    consul::register(consul_config(&config.consul, path), registration).map_err(Error::Registration)
}
