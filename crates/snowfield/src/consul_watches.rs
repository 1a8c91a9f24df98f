//! Watches on the services that the appliance's file names, and the registration of this process.

use crate::backends::Backends;
use crate::checked_config::directory;
use crate::error::Error;
use catalogue::{Guards, Health};
use consul::{Answered, ListFile, NUMBERS, Registered, Source, Token, Watch, Watched};
use link::locked;
use settings::appliance::{ApplianceConfig, ConsulConfig, MinimumHealth, RegistrationConfig};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Where Consul is, as the file `path` says.
pub fn source(config: &ConsulConfig, path: &Path) -> Source {
    Source {
        agents: std::iter::once(config.address).chain(config.further_agents.iter().copied()).collect(),
        token_file: config.token_file.as_ref().map(|name| directory(path).join(name)),
        datacenter: config.datacenter.clone(),
        namespace: config.namespace.clone(),
        partition: config.partition.clone(),
        stale_ms: config.max_stale_ms,
        wait: Duration::from_millis(config.wait_ms),
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
    answered: &Arc<Answered>,
) -> Result<(), Error> {
    let source = source(&config.consul, path);
    Token::of(source.token_file.clone()).read().map_err(Error::ConsulToken)?;
    let cache = config.consul.cache_file.as_ref().map(|name| {
        let services = config.service_names().into_iter().map(str::to_owned);
        Arc::new(ListFile::open(directory(path).join(name), config.consul.cache_max_age_s, services))
    });
    let watches = watched(config).into_iter().enumerate().map(|(service, watched)| {
        let (announced_to, busy) = (backends.clone(), backends.busy());
        Watch::new(
            source.clone(),
            watched,
            answered.clone(),
            cache.clone(),
            Box::new(move |view| announced_to.set_view(service, view)),
            Box::new(move |number| locked(&busy).contains(&number)),
        )
    });
    backends.set_watches(watches.collect());
    Ok(())
}

/// The services to watch, each with backend numbers of its own.
fn watched(config: &ApplianceConfig) -> Vec<Watched> {
    let consul = &config.consul;
    let first = (&consul.service, &consul.tag, &consul.filter);
    let further = config.services.iter().map(|service| (&service.name, &service.tag, &service.filter));
    let watched =
        std::iter::once(first).chain(further).enumerate().map(|(number, (name, tag, filter))| Watched {
            service: name.clone(),
            tag: tag.clone(),
            filter: filter.clone(),
            guards: guards(consul),
            first_number: number as u32 * NUMBERS,
        });
    watched.collect()
}

fn guards(config: &ConsulConfig) -> Guards {
    Guards {
        worst: match config.minimum_health {
            MinimumHealth::Passing => Health::Passing,
            MinimumHealth::Warning => Health::Warning,
        },
        flap_hold: config.flap_hold_ms,
        flap_longest: config.max_flap_hold_ms,
        sudden_share: config.sudden_loss_share,
        sudden_hold: config.sudden_loss_hold_ms,
        ..Guards::default()
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
) -> Result<Registered, Error> {
    let RegistrationConfig { name, id, address, ttl_ms } = registration;
    let address = address.unwrap_or(config.listen);
    let ttl = Duration::from_millis(*ttl_ms);
    consul::register(source(&config.consul, path), name.clone(), id.clone(), address, ttl)
        .map_err(Error::Registration)
}
