//! The health and catalog endpoints of services.

use super::blocking::wait_for_change;
use super::request::Request;
use super::response::Response;
use crate::fault::Fault;
use crate::listener::Listener;
use crate::service::Service;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Name of the Consul node to which all instances belong.
const NODE: &str = "a";

/// Returns the instances of a service with their checks (`/v1/health/service/`).
pub(super) fn health(listener: &Listener, request: &Request, name: &str, fault: Fault) -> Response {
    list(listener, request, name, fault, |instance, address| health_json(name, instance, address))
}

/// Returns the instances of a service without their checks (`/v1/catalog/service/`).
pub(super) fn catalog(listener: &Listener, request: &Request, name: &str, fault: Fault) -> Response {
    list(listener, request, name, fault, catalog_json)
}

fn list(
    listener: &Listener,
    request: &Request,
    name: &str,
    fault: Fault,
    encode: impl Fn(&Service, SocketAddr) -> Value,
) -> Response {
    wait_for_change(listener, request, fault, |state| state.services_index);
    // A fault that is injected during the wait fails the waiting query.
    if listener.read_fault() != fault {
        return Response::injected_fault(500);
    }
    let state = listener.state();
    let only_passing = request.parameter("passing").is_some();
    let tag = request.parameter("tag");
    let instances = state.services.get(name).into_iter().flatten();
    let entries: Vec<Value> = instances
        .filter(|instance| instance.is_passing() || !only_passing)
        .filter(|instance| tag.is_none_or(|tag| instance.has_tag(tag)))
        .map(|instance| encode(instance, listener.translated_address(instance.address)))
        .collect();
    Response::json(state.services_index, &entries.into())
}

fn catalog_json(instance: &Service, address: SocketAddr) -> Value {
    json!({
        "Node": NODE, "Address": address.ip().to_string(), "ServiceID": instance.id, "ServiceAddress": "",
        "ServicePort": address.port(),
    })
}

fn health_json(name: &str, instance: &Service, address: SocketAddr) -> Value {
    json!({
        "Node": {"Node": NODE, "Address": address.ip().to_string()},
        "Service": {
            "ID": instance.id, "Service": name, "Address": "", "Port": address.port(), "Tags": instance.tags,
            "Meta": instance.meta,
            "Weights": {"Passing": instance.weights.passing, "Warning": instance.weights.warning},
        },
        "Checks": checks_json(instance),
    })
}

fn checks_json(instance: &Service) -> Vec<Value> {
    let check = |id: &str, status: &str| json!({"Node": NODE, "CheckID": id, "Status": status});
    let node_status = if instance.is_node_healthy { "passing" } else { "critical" };
    let mut checks = vec![
        check("serfHealth", node_status),
        check(&format!("service:{}", instance.id), instance.status.name()),
    ];
    if instance.in_maintenance {
        checks.push(check(&format!("_service_maintenance:{}", instance.id), "critical"));
    }
    checks
}
