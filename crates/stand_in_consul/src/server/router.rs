//! Routes requests to the pages of the API.

use super::request::Request;
use super::response::Response;
use super::{agent, kv, services, session, transaction};
use crate::fault::Fault;
use crate::listener::Listener;

const LEADER_ADDRESS: &str = "\"127.0.0.1:8300\"";

/// Applies a request and returns its response.
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
        ("PUT", ["v1", "session", page]) => session::serve(listener, request, page),
        ("PUT", ["v1", "agent", page]) => agent::serve(listener, request, page),
        ("GET", ["v1", "health", page]) => match page.strip_prefix("service/") {
            Some(name) => services::health(listener, request, name, fault),
            None => Response::unknown_page(),
        },
        ("GET", ["v1", "catalog", page]) => match page.strip_prefix("service/") {
            Some(name) => services::catalog(listener, request, name, fault),
            None => Response::unknown_page(),
        },
        _ => Response::unknown_page(),
    }
}
