//! Watches on the services that the appliance's file names, and the registration of this process.

use crate::backends::Backends;
use crate::checked_config::directory;
use crate::error::Error;
use catalogue::{HealthStatus, StabilityConfig};
use consul::{
    CacheFile, ConsulConfig, LastAnswers, NUMBERS_PER_SERVICE, RegistrationHandle, ServiceWatch, TokenFile,
    WatchConfig,
};
use link::locked;
use settings::appliance::{self, ApplianceConfig, MinimumHealth, RegistrationConfig};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Where Consul is, as the file `path` says.
pub fn source(config: &appliance::ConsulConfig, path: &Path) -> ConsulConfig {
    ConsulConfig {
        agents: std::iter::once(config.address).chain(config.further_agents.iter().copied()).collect(),
        token_file: config.token_file.as_ref().map(|name| directory(path).join(name)),
        datacenter: config.datacenter.clone(),
        namespace: config.namespace.clone(),
        partition: config.partition.clone(),
        max_stale_ms: config.max_stale_ms,
        blocking_wait: Duration::from_millis(config.wait_ms),
    }
}

/// Creates the watches on all services. What the cached list holds is announced at once.
///
/// # Errors
///
/// The token file cannot be used.
pub fn create(
    backends: &Arc<Backends>,
    config: &ApplianceConfig,
    path: &Path,
    answered: &Arc<LastAnswers>,
) -> Result<(), Error> {
    let source = source(&config.consul, path);
    TokenFile::new(source.token_file.clone()).read().map_err(Error::ConsulToken)?;
    let cache = config.consul.cache_file.as_ref().map(|name| {
        let services = config.service_names().into_iter().map(str::to_owned);
        Arc::new(CacheFile::open(directory(path).join(name), config.consul.cache_max_age_s, services))
    });
    let watches = watched(config).into_iter().enumerate().map(|(service, watched)| {
        let (announced_to, busy) = (backends.clone(), backends.busy());
        ServiceWatch::new(
            source.clone(),
            watched,
            answered.clone(),
            cache.clone(),
            Box::new(move |view| announced_to.set_view(service, view)),
            Box::new(move |number| locked(&busy).contains(&number.0)),
        )
    });
    backends.set_watches(watches.collect());
    Ok(())
}

/// The services to watch, each with backend numbers of its own.
fn watched(config: &ApplianceConfig) -> Vec<WatchConfig> {
    let consul = &config.consul;
    let first = (&consul.service, &consul.tag, &consul.filter);
    let further = config.services.iter().map(|service| (&service.name, &service.tag, &service.filter));
    let watched =
        std::iter::once(first).chain(further).enumerate().map(|(number, (name, tag, filter))| WatchConfig {
            service: name.clone(),
            tag: tag.clone(),
            filter: filter.clone(),
            stability: stability(consul),
            last_number: number as u32 * NUMBERS_PER_SERVICE,
        });
    watched.collect()
}

fn stability(config: &appliance::ConsulConfig) -> StabilityConfig {
    StabilityConfig {
        minimum_health: match config.minimum_health {
            MinimumHealth::Passing => HealthStatus::Passing,
            MinimumHealth::Warning => HealthStatus::Warning,
        },
        flap_suppression: Duration::from_millis(config.flap_damping_ms),
        max_flap_suppression: Duration::from_millis(config.max_flap_damping_ms),
        sudden_loss_share: config.sudden_loss_share,
        sudden_loss_retention: Duration::from_millis(config.sudden_loss_grace_ms),
        ..StabilityConfig::default()
    }
}

/// Registers this process as the file `path` says.
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
    consul::register(source(&config.consul, path), registration).map_err(Error::Registration)
}
