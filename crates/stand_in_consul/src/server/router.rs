//! Routes requests to the endpoints of the API.

use super::request::Request;
use super::response::Response;
use super::{agent, kv, services, session, transaction};
use crate::fault::Fault;
use crate::listener::Listener;

const LEADER_ADDRESS: &str = "\"127.0.0.1:8300\"";

/// Applies a request and returns its response. `fault` is the fault of the listener at the start of the request: a blocking query
/// ends when the fault changes.
pub(super) fn route(listener: &Listener, request: &Request, fault: Fault) -> Response {
    let is_denied = listener.state().token.as_ref().is_some_and(|token| *token != request.token);
    if is_denied {
        return Response::text(403, "Permission denied");
    }
    let segments: Vec<&str> = request.path.trim_start_matches('/').splitn(3, '/').collect();
    match (request.method.as_str(), &segments[..]) {
        (_, ["v1", "status/leader"] | ["v1", "status", "leader"]) => Response::text(200, LEADER_ADDRESS),
        ("GET", ["v1", "kv", key]) => kv::read(listener, request, key, fault),
        (_, ["v1", "kv", key]) => kv::write(listener, request, key),
        ("PUT", ["v1", "txn"]) => transaction::apply(listener, request),
        ("PUT", ["v1", "session", subpath]) => session::serve(listener, request, subpath),
        ("PUT", ["v1", "agent", subpath]) => agent::serve(listener, request, subpath),
        ("GET", ["v1", "health", subpath]) => match subpath.strip_prefix("service/") {
            Some(name) => services::health(listener, request, name, fault),
            None => Response::unknown_path(),
        },
        ("GET", ["v1", "catalog", subpath]) => match subpath.strip_prefix("service/") {
            Some(name) => services::catalog(listener, request, name, fault),
            None => Response::unknown_path(),
        },
        _ => Response::unknown_path(),
    }
}
