//! Endpoints of the KV store.

use super::blocking::wait_for_change;
use super::clock::now_ms;
use super::request::Request;
use super::response::Response;
use crate::fault::Fault;
use crate::listener::Listener;
use crate::store::{Entry, KeySelector, Store};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// Encodes an entry with its value in base64, as Consul does.
pub(super) fn entry_json(key: &str, entry: &Entry) -> Value {
    let mut fields = entry_json_without_value(key, entry);
    fields["Value"] = STANDARD.encode(&entry.value).into();
    fields
}

/// Encodes an entry without its value (`null`), as Consul does for a write in a transaction.
pub(super) fn entry_json_without_value(key: &str, entry: &Entry) -> Value {
    let mut fields = json!({
        "LockIndex": entry.lock_index, "Key": key, "Flags": entry.flags, "Value": Value::Null,
        "CreateIndex": entry.create_index, "ModifyIndex": entry.modify_index,
    });
    if let Some(session) = &entry.session {
        fields["Session"] = session.clone().into();
    }
    fields
}

/// Reads a key, or with the parameter `recurse` all keys that have `key` as a prefix. Blocks as a blocking query does.
pub(super) fn read(listener: &Listener, request: &Request, key: &str, fault: Fault) -> Response {
    let selector = selector(request, key);
    wait_for_change(listener, request, fault, |state| state.store.index_of(selector));
    let mut state = listener.state();
    state.store.expire_sessions(now_ms());
    let index = state.store.index_of(selector);
    let entries: Vec<Value> =
        state.store.matching(selector).map(|(key, entry)| entry_json(key, entry)).collect();
    if entries.is_empty() { Response::not_found(index) } else { Response::json(index, &entries.into()) }
}

/// Writes, locks, unlocks or deletes a key. With the parameter `recurse`, a deletion removes all keys that have `key` as a
/// prefix.
pub(super) fn write(listener: &Listener, request: &Request, key: &str) -> Response {
    match request.method.as_str() {
        "PUT" => listener.update(|state| put(&mut state.store, request, key)),
        "DELETE" => listener.update(|state| delete(&mut state.store, request, key)),
        _ => Response::text(405, ""),
    }
}

fn selector<'a>(request: &Request, key: &'a str) -> KeySelector<'a> {
    if request.parameter("recurse").is_some() { KeySelector::Prefix(key) } else { KeySelector::Key(key) }
}

fn put(store: &mut Store, request: &Request, key: &str) -> Response {
    let flags = request.parameter("flags").and_then(|flags| flags.parse().ok()).unwrap_or(0);
    let value = request.body.clone();
    store.expire_sessions(now_ms());
    match ["cas", "acquire", "release"].map(|name| request.parameter(name)) {
        [Some(index), None, None] => match index.parse() {
            Ok(index) => Response::boolean(store.cas(key, value, flags, index)),
            Err(_) => Response::text(400, "cas is no index"),
        },
        [None, Some(session), None] => match store.acquire(now_ms(), key, value, flags, session) {
            Ok(is_acquired) => Response::boolean(is_acquired),
            Err(error) => Response::text(500, &error.to_string()),
        },
        [None, None, Some(session)] => Response::boolean(store.release(key, value, flags, session)),
        [None, None, None] => {
            store.set(key, value, flags);
            Response::boolean(true)
        }
        _ => Response::text(400, "conflicting parameters"),
    }
}

fn delete(store: &mut Store, request: &Request, key: &str) -> Response {
    store.expire_sessions(now_ms());
    store.delete(selector(request, key));
    Response::boolean(true)
}
