//! The endpoint list in the format of the platform's discovery agent.

use serde::Deserialize;

/// A list of backends, either complete or with the changes since the previous list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct EndpointList {
    /// Version of the list.
    #[serde(rename = "rev", default)]
    pub revision: u64,
    /// Whether the list is complete. Otherwise it has only the changed endpoints.
    #[serde(rename = "all", default)]
    pub complete: bool,
    /// The endpoints.
    #[serde(rename = "targets", default)]
    pub endpoints: Vec<Endpoint>,
}

/// A backend.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Endpoint {
    /// Id, the same at every gatekeeper.
    #[serde(rename = "uid")]
    pub id: String,
    /// Address and port at which this gatekeeper reaches it. May be empty for a removed backend.
    #[serde(rename = "endpoint", default)]
    pub address: String,
    /// Zone.
    #[serde(rename = "az", default)]
    pub zone: String,
    /// Machine type.
    #[serde(rename = "model", default)]
    pub machine_type: String,
    /// Cell.
    #[serde(rename = "pod_group", default)]
    pub cell: u16,
    /// `up`, `draining` or `removed`.
    pub state: String,
    /// Capacity relative to other backends.
    #[serde(rename = "capacity_hint", default = "one")]
    pub capacity: f64,
    /// Start time in Unix milliseconds; 0 if it started long ago.
    #[serde(rename = "boot_ms", default)]
    pub started_ms: u64,
}

fn one() -> f64 {
    1.0
}
