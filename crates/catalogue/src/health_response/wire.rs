//! JSON schema of the health API, limited to the fields that are used.

use serde::Deserialize;
use std::collections::BTreeMap;

/// One entry of the response: a service instance, its node, and the checks of both.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct HealthEntry {
    pub(super) node: Node,
    pub(super) service: Service,
    #[serde(default)]
    pub(super) checks: Option<Vec<Check>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Node {
    /// Node name (`Node.Node` in Consul's JSON).
    pub(super) node: String,
    #[serde(default)]
    pub(super) address: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Service {
    #[serde(rename = "ID")]
    pub(super) id: String,
    #[serde(default)]
    pub(super) address: String,
    #[serde(default)]
    pub(super) port: u32,
    #[serde(default)]
    pub(super) weights: Option<Weights>,
    #[serde(default)]
    pub(super) meta: Option<BTreeMap<String, String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Weights {
    pub(super) passing: f64,
    pub(super) warning: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Check {
    #[serde(rename = "CheckID", default)]
    pub(super) id: String,
    #[serde(default)]
    pub(super) status: String,
}
