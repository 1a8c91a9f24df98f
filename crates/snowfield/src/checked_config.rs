//! An appliance's file with the OpenAPI descriptions that it names, checked together.

use crate::error::Error;
use openapi::{Description, Route, RouteTable};
use settings::appliance::ApplianceConfig;
use std::path::Path;

/// A configuration and its routes, which fit together.
pub struct CheckedConfig {
    /// The file.
    pub config: ApplianceConfig,
    /// The routes of its descriptions.
    pub routes: RouteTable,
}

impl CheckedConfig {
    /// Reads a file and its descriptions, and checks all that can be checked without a connection.
    ///
    /// # Errors
    ///
    /// Says which file is missing or cannot be used, and why.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let config = ApplianceConfig::parse(&read(path)?).map_err(Error::settings(path))?;
        let mut texts = Vec::new();
        for name in &config.descriptions {
            texts.push((name.display().to_string(), read(&directory(path).join(name))?));
        }
        let descriptions: Vec<_> = texts.iter().map(|(name, text)| Description { name, text }).collect();
        let routes = RouteTable::load(&descriptions)?;
        routes.routes().iter().try_for_each(|route| check_route(&config, route))?;
        Ok(Self { config, routes })
    }
}

/// The directory that the names in a file are relative to.
pub fn directory(path: &Path) -> &Path {
    path.parent().unwrap_or(Path::new("."))
}

/// The text of a file.
///
/// # Errors
///
/// [`Error::File`].
pub fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(Error::file(path))
}

fn check_route(config: &ApplianceConfig, route: &Route) -> Result<(), Error> {
    let name = || format!("{}: {} {}", route.source, route.method, route.path);
    if config.class_number(&route.class).is_none() {
        return Err(Error::UndefinedByRoute { route: name(), kind: "class", name: route.class.clone() });
    }
    if let Some(service) =
        route.service.as_deref().filter(|service| !config.service_names().contains(service))
    {
        return Err(Error::UndefinedByRoute { route: name(), kind: "service", name: service.to_owned() });
    }
    match config.plans.iter().find(|plan| plan.burst < route.units) {
        Some(plan) => {
            Err(Error::RouteExceedsBurst { route: name(), units: route.units, plan: plan.name.clone() })
        }
        None => Ok(()),
    }
}
