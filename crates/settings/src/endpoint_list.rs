//! The endpoint list in the format of the platform's discovery agent.

use serde::Deserialize;

/// A list of backends, either complete or with the changes since the previous list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct EndpointList {
    /// Version of the list, from the discovery agent; 0 if absent.
    #[serde(rename = "rev", default)]
    pub revision: u64,
    /// True for a complete list, false for a list with only the endpoints that changed since the previous list.
    #[serde(rename = "all", default)]
    pub complete: bool,
    /// The endpoints: all of them, or only the changed ones.
    #[serde(rename = "targets", default)]
    pub endpoints: Vec<Endpoint>,
}

/// An entry of the list: one backend.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Endpoint {
    /// Id of the backend, the same at every gatekeeper.
    #[serde(rename = "uid")]
    pub id: String,
    /// Address and port at which this gatekeeper reaches the backend. May be empty for a removed backend.
    #[serde(rename = "endpoint", default)]
    pub address: String,
    /// Name of the availability zone; empty if absent.
    #[serde(rename = "az", default)]
    pub zone: String,
    /// Name of the machine type; empty if absent.
    #[serde(rename = "model", default)]
    pub machine_type: String,
    /// Number of the backend's cell: a group of backends within which idempotency keys are recognized.
    #[serde(rename = "pod_group", default)]
    pub cell: u16,
    /// State of the backend: `up`, `draining` or `removed`.
    pub state: String,
    /// Capacity relative to other backends; 1 if absent.
    #[serde(rename = "capacity_hint", default = "one")]
    pub capacity: f64,
    /// Start time of the backend in Unix milliseconds; 0 if the backend started long ago.
    #[serde(rename = "boot_ms", default)]
    pub started_ms: u64,
}

fn one() -> f64 {
    1.0
}
