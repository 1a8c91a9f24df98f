//! Endpoints of sessions.

use super::blocking::parse_duration;
use super::clock::now_ms;
use super::request::Request;
use super::response::Response;
use crate::listener::Listener;
use crate::store::{KeysAtEnd, SessionOptions, Store};
use serde_json::{Value, json};
use std::ops::RangeInclusive;

/// Range of a TTL that Consul accepts.
const TTL_RANGE_MS: RangeInclusive<u64> = 10_000..=86_400_000;
/// Lock delay of a session that is created without one.
const DEFAULT_LOCK_DELAY_MS: u64 = 15_000;

/// Answers a request to `/v1/session/`. `subpath` is the rest of the path.
pub(super) fn serve(listener: &Listener, request: &Request, subpath: &str) -> Response {
    listener.update(|state| {
        let store = &mut state.store;
        store.expire_sessions(now_ms());
        match subpath.split_once('/') {
            None if subpath == "create" => create(store, &request.body),
            Some(("renew", id)) => renew(store, id),
            Some(("destroy", id)) => {
                store.destroy_session(now_ms(), id);
                Response::boolean(true)
            }
            _ => Response::unknown_path(),
        }
    })
}

fn create(store: &mut Store, body: &[u8]) -> Response {
    let options: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = |name: &str| options.get(name).and_then(Value::as_str);
    let millis = |text: &str| parse_duration(text).map(|duration| duration.as_millis() as u64);
    let ttl_ms = text("TTL").filter(|ttl| !ttl.is_empty()).and_then(millis);
    if ttl_ms.is_some_and(|ttl| !TTL_RANGE_MS.contains(&ttl)) {
        return Response::text(400, "Invalid Session TTL");
    }
    let deletes_keys = text("Behavior") == Some("delete");
    let options = SessionOptions {
        name: text("Name").unwrap_or_default().to_owned(),
        ttl_ms,
        lock_delay_ms: text("LockDelay").and_then(millis).unwrap_or(DEFAULT_LOCK_DELAY_MS),
        keys_at_end: if deletes_keys { KeysAtEnd::Delete } else { KeysAtEnd::Release },
    };
    let id = store.create_session(now_ms(), options);
    Response::json(0, &json!({"ID": id}))
}

fn renew(store: &mut Store, id: &str) -> Response {
    match store.renew_session(now_ms(), id) {
        Some(session) => {
            let (name, create_index) = (session.name(), session.create_index());
            Response::json(0, &json!([{"ID": id, "Name": name, "CreateIndex": create_index}]))
        }
        None => Response::text(404, &format!("Session id '{id}' not found")),
    }
}
