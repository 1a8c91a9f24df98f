//! The appliance's configuration file, validated together with the OpenAPI descriptions that it names.

use crate::error::Error;
use openapi::{Description, Route, RouteTable};
use settings::appliance::ApplianceConfig;
use std::path::Path;

/// A valid configuration with the routes of its descriptions.
pub struct CheckedConfig {
    /// The settings of the configuration file.
    pub config: ApplianceConfig,
    /// The routes of all descriptions that the configuration names.
    pub routes: RouteTable,
}

impl CheckedConfig {
    /// Reads and validates a configuration file with its descriptions. Opens no connection.
    ///
    /// # Errors
    ///
    /// A file is missing or invalid, or a route does not fit the configuration.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let config = ApplianceConfig::parse(&read_text(path)?).map_err(Error::settings(path))?;
        let mut texts = Vec::new();
        for name in &config.descriptions {
            texts.push((name.display().to_string(), read_text(&directory(path).join(name))?));
        }
        let descriptions: Vec<_> = texts.iter().map(|(name, text)| Description { name, text }).collect();
        let routes = RouteTable::load(&descriptions)?;
        routes.routes().iter().try_for_each(|route| check_route(&config, route))?;
        Ok(Self { config, routes })
    }
}

/// Returns the directory of a configuration file. The file names in the configuration are relative to it.
pub fn directory(path: &Path) -> &Path {
    path.parent().unwrap_or(Path::new("."))
}

/// Reads a whole file of UTF-8 text.
///
/// # Errors
///
/// [`Error::File`].
pub fn read_text(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(Error::file(path))
}

/// Checks that the configuration defines the class and service of a route, and that each plan can admit its requests.
fn check_route(config: &ApplianceConfig, route: &Route) -> Result<(), Error> {
    let route_name = || format!("{}: {} {}", route.source, route.method, route.path);
    let undefined = |kind: &'static str, name: &str| {
        Err(Error::UndefinedByRoute { route: route_name(), kind, name: name.to_owned() })
    };
    if config.class_number(&route.class).is_none() {
        return undefined("class", &route.class);
    }
    if let Some(service) = route.service.as_deref()
        && !config.service_names().contains(&service)
    {
        return undefined("service", service);
    }
    match config.plans.iter().find(|plan| plan.burst < route.units) {
        Some(plan) => {
            let plan = plan.name.clone();
            Err(Error::RouteExceedsBurst { route: route_name(), units: route.units, plan })
        }
        None => Ok(()),
    }
}
