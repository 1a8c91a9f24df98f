//! The replicated plans: starts the node of this instance, and updates the policy with the plans each time the state of the
//! replicated configuration changes ([`ConfigView`]).

use crate::checked_config::directory;
use crate::cluster_settings::keyring;
use crate::error::Error;
use config_node::{ConfigView, InvalidProposal, Node, NodeConfig, ReplicaAddress};
use front_openapi::HttpExchange;
use settings::appliance::{
    ApplianceConfig, PlanConfig, ReplicaConfig, ReplicationConfig, RouteClass, apply_version, scaled_plans,
    stricter_plans,
};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// The inputs of the policy's settings that come from the routes and not from the configuration.
#[derive(Clone)]
pub struct PolicyInputs {
    /// Units of one request to the most expensive route.
    pub max_units: f64,
    /// The policy's classes, by number.
    pub classes: Vec<RouteClass>,
}

/// Starts a node for the replicated plans if the configuration file `path` has the table `agreed`.
///
/// # Errors
///
/// The key file is missing or invalid, or [`Node::start`] fails.
pub fn start(
    config: &ApplianceConfig,
    path: &Path,
    inputs: PolicyInputs,
    exchange: Arc<HttpExchange>,
) -> Result<Option<Node>, Error> {
    let Some(node_config) = node_config(config, path)? else { return Ok(None) };
    let (validating_config, config) = (config.clone(), config.clone());
    let validator = move |text: &str| match apply_version(&validating_config, text) {
        Ok(_) => Ok(()),
        Err(error) => Err(InvalidProposal(error.to_string())),
    };
    let listener = move |view: &ConfigView| {
        if let Err(error) = apply_view(&config, view, &inputs, &exchange) {
            tracing::warn!(%error, "replicated version not usable, previous configuration kept in force");
        }
    };
    Ok(Some(Node::start(node_config, Box::new(validator), Box::new(listener))?))
}

/// Derives the node's configuration. `None` if the file lacks the table `agreed` or `cluster`.
fn node_config(config: &ApplianceConfig, path: &Path) -> Result<Option<NodeConfig>, Error> {
    let (Some(replication), Some(cluster)) = (&config.replication, &config.cluster) else { return Ok(None) };
    let replica_address =
        |replica: &ReplicaConfig| ReplicaAddress { name: replica.name.clone(), address: replica.address };
    Ok(Some(NodeConfig {
        name: cluster.name.clone(),
        listen: replication.listen,
        replicas: replication.replicas.iter().map(replica_address).collect(),
        keys: keyring(config, path)?,
        log: directory(path).join(&replication.log),
        lease_duration: Duration::from_millis(replication.lease_duration_ms),
    }))
}

/// Updates the policy's settings with the plans that follow from this state of the replicated configuration.
fn apply_view(
    config: &ApplianceConfig,
    view: &ConfigView,
    inputs: &PolicyInputs,
    exchange: &HttpExchange,
) -> Result<(), settings::SettingsError> {
    let Some(replication) = &config.replication else { return Ok(()) };
    let plans = enforced_plans(config, replication, view);
    let config = ApplianceConfig { plans, ..config.clone() };
    let settings = config.policy_settings(inputs.max_units, &inputs.classes)?;
    exchange.update_settings(settings)?;
    Ok(())
}

/// Returns the plans to enforce. During a rollout each limit is the stricter of the version in force and the proposed version.
/// Without a lease the limits are scaled to [`ReplicationConfig::share_without_lease`].
fn enforced_plans(
    config: &ApplianceConfig,
    replication: &ReplicationConfig,
    view: &ConfigView,
) -> Vec<PlanConfig> {
    // A version that the replicas accepted may still be invalid together with this instance's file. The plans of the file then
    // apply.
    let plans_of = |text: &str| apply_version(config, text).unwrap_or_else(|_| config.plans.clone());
    let in_force = match &view.in_force {
        Some(version) => plans_of(&version.text),
        None => config.plans.clone(),
    };
    let leased_plans = match &view.proposed {
        Some(proposed) => stricter_plans(&in_force, &plans_of(&proposed.text)),
        None => in_force,
    };
    if view.has_lease { leased_plans } else { scaled_plans(&leased_plans, replication.share_without_lease) }
}

#[cfg(test)]
mod tests;
