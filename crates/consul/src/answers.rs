//! The parts of Consul's answers that are used.

use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};

/// One entry of `/v1/health/service/NAME`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct HealthEntry {
    node: Node,
    service: Service,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Node {
    node: String,
    address: String,
}

#[derive(Debug, Deserialize)]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "Address", default)]
    address: String,
    #[serde(rename = "Port")]
    port: u16,
}

/// One entry of `/v1/catalog/service/NAME`.
#[derive(Debug, Deserialize)]
pub(crate) struct CatalogEntry {
    #[serde(rename = "Node")]
    node: String,
    #[serde(rename = "Address")]
    address: String,
    #[serde(rename = "ServiceID")]
    service_id: String,
    #[serde(rename = "ServiceAddress", default)]
    service_address: String,
    #[serde(rename = "ServicePort")]
    service_port: u16,
}

impl HealthEntry {
    pub(crate) fn instance(&self) -> Option<(String, SocketAddr)> {
        instance(
            &self.node.node,
            &self.service.id,
            &self.service.address,
            &self.node.address,
            self.service.port,
        )
    }
}

impl CatalogEntry {
    pub(crate) fn instance(&self) -> Option<(String, SocketAddr)> {
        instance(&self.node, &self.service_id, &self.service_address, &self.address, self.service_port)
    }
}

/// A service without an address of its own listens at its node's. Names are not resolved: there is no DNS here.
fn instance(node: &str, id: &str, own: &str, node_address: &str, port: u16) -> Option<(String, SocketAddr)> {
    let text = if own.is_empty() { node_address } else { own };
    match text.parse::<IpAddr>() {
        Ok(ip) => Some((format!("{node}/{id}"), SocketAddr::new(ip, port))),
        Err(_) => {
            println!("consul: {node}/{id} has no usable address {text:?}; left out");
            None
        }
    }
}
