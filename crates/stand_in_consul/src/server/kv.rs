//! The pages of the KV store.

use super::blocking::wait_for_change;
use super::now_ms;
use super::request::Request;
use super::response::Response;
use crate::consul::{Fault, Listener};
use crate::store::Entry;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// An entry as Consul shows it.
pub(super) fn entry_json(key: &str, entry: &Entry, with_value: bool) -> Value {
    let mut shown = json!({
        "LockIndex": entry.lock_index, "Key": key, "Flags": entry.flags, "Value": Value::Null,
        "CreateIndex": entry.create_index, "ModifyIndex": entry.modify_index,
    });
    if with_value {
        shown["Value"] = STANDARD.encode(&entry.value).into();
    }
    if let Some(session) = &entry.session {
        shown["Session"] = session.clone().into();
    }
    shown
}

/// Reads a key, or with `recurse` all that begin with it.
pub(super) fn read(listener: &Listener, request: &Request, key: &str, fault: Fault) -> Response {
    let recurse = request.query.contains_key("recurse");
    let matches = |k: &str| if recurse { k.starts_with(key) } else { k == key };
    // A query on a key waits for that key; the store's index stands for keys that do not exist.
    wait_for_change(listener, request, fault, |state| {
        let found = state.store.keys.iter().filter(|(k, _)| matches(k));
        found.map(|(_, entry)| entry.modify_index).max().unwrap_or(state.store.index)
    });
    let mut state = listener.shared.state();
    state.store.expire(now_ms());
    let found: Vec<_> = state.store.keys.iter().filter(|(k, _)| matches(k)).collect();
    let index = found.iter().map(|(_, entry)| entry.modify_index).max().unwrap_or(state.store.index);
    if found.is_empty() {
        return Response::not_found(index);
    }
    let entries: Vec<Value> = found.into_iter().map(|(k, entry)| entry_json(k, entry, true)).collect();
    Response::json(index, &entries.into())
}

/// Writes, locks, unlocks or deletes a key.
pub(super) fn write(listener: &Listener, request: &Request, key: &str) -> Response {
    let done = match request.method.as_str() {
        "PUT" => put(listener, request, key),
        "DELETE" => {
            let mut state = listener.shared.state();
            state.store.expire(now_ms());
            state.store.delete(key, request.query.contains_key("recurse"));
            Ok(true)
        }
        _ => Err(Response::text(405, "")),
    };
    match done {
        Ok(done) => {
            listener.shared.notify_changed();
            Response::text(200, if done { "true" } else { "false" })
        }
        Err(response) => response,
    }
}

/// Whether it was written, or the response to a request that cannot be served.
fn put(listener: &Listener, request: &Request, key: &str) -> Result<bool, Response> {
    let flags = request.parameter("flags").and_then(|flags| flags.parse().ok()).unwrap_or(0);
    let value = request.body.clone();
    let mut state = listener.shared.state();
    let store = &mut state.store;
    store.expire(now_ms());
    match ["cas", "acquire", "release"].map(|name| request.parameter(name)) {
        [Some(index), None, None] => match index.parse() {
            Ok(index) => Ok(store.cas(key, value, flags, index)),
            Err(_) => Err(Response::text(400, "cas is no index")),
        },
        [None, Some(session), None] => store
            .acquire(now_ms(), key, value, flags, session)
            .ok_or_else(|| Response::text(500, "invalid session")),
        [None, None, Some(session)] => Ok(store.release(key, value, flags, session)),
        [None, None, None] => {
            store.set(key, value, flags);
            Ok(true)
        }
        _ => Err(Response::text(400, "conflicting parameters")),
    }
}
