//! The endpoint list in the form of the platform's discovery agent.

use serde::Deserialize;

/// A list of backends, complete or with the changes since the one before.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct EndpointList {
    /// The list's version.
    #[serde(rename = "rev", default)]
    pub revision: u64,
    /// True for a complete list, false for changes.
    #[serde(rename = "all", default)]
    pub complete: bool,
    /// The entries.
    #[serde(rename = "targets", default)]
    pub endpoints: Vec<Endpoint>,
}

/// One backend.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Endpoint {
    /// Its id, the same at every gatekeeper.
    #[serde(rename = "uid")]
    pub id: String,
    /// Address and port as this gatekeeper reaches it. An entry that is removed may have none.
    #[serde(rename = "endpoint", default)]
    pub address: String,
    /// Its zone.
    #[serde(rename = "az", default)]
    pub zone: String,
    /// Its machine type.
    #[serde(rename = "model", default)]
    pub machine_type: String,
    /// Its cell.
    #[serde(rename = "pod_group", default)]
    pub cell: u16,
    /// `up`, `draining` or `removed`.
    pub state: String,
    /// Its capacity relative to other backends.
    #[serde(rename = "capacity_hint", default = "one")]
    pub capacity: f64,
    /// When it started, in Unix milliseconds; 0 for long ago.
    #[serde(rename = "boot_ms", default)]
    pub started_ms: u64,
}

fn one() -> f64 {
    1.0
}
