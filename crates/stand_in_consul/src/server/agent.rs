//! Endpoints of the agent: registration of a service, and heartbeats of its TTL check.

use super::request::Request;
use super::response::Response;
use crate::listener::Listener;
use crate::service::Registration;
use crate::state::State;
use serde_json::Value;

/// Answers a request to `/v1/agent/`. `subpath` is the rest of the path.
pub(super) fn serve(listener: &Listener, request: &Request, subpath: &str) -> Response {
    listener.update(|state| {
        if subpath == "service/register" {
            register(state, &request.body)
        } else if let Some(id) = subpath.strip_prefix("service/deregister/") {
            deregister(state, id)
        } else if let Some(id) = subpath.strip_prefix("check/pass/service:") {
            pass_check(state, id)
        } else {
            Response::unknown_path()
        }
    })
}

fn register(state: &mut State, body: &[u8]) -> Response {
    let Ok(body) = serde_json::from_slice::<Value>(body) else {
        return Response::text(400, "no JSON");
    };
    let text = |name: &str| body.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    let name = text("Name");
    if name.is_empty() {
        return Response::text(400, "Missing service name");
    }
    let id = Some(text("ID")).filter(|id| !id.is_empty()).unwrap_or_else(|| name.clone());
    let port = body.get("Port").and_then(Value::as_u64).and_then(|port| u16::try_from(port).ok());
    state.registrations.insert(id, Registration { name, port: port.unwrap_or(0), passed_checks: 0 });
    Response::text(200, "")
}

fn deregister(state: &mut State, id: &str) -> Response {
    match state.registrations.remove(id) {
        Some(_) => Response::text(200, ""),
        None => Response::text(404, "Unknown service ID"),
    }
}

fn pass_check(state: &mut State, id: &str) -> Response {
    match state.registrations.get_mut(id) {
        Some(registration) => {
            registration.passed_checks += 1;
            Response::text(200, "")
        }
        None => Response::text(404, "Unknown check ID"),
    }
}
