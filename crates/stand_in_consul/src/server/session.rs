//! The pages of sessions.

use super::blocking::parse_duration;
use super::request::Request;
use super::response::Response;
use super::{NO_SUCH_PAGE, now_ms};
use crate::consul::Listener;
use crate::store::{SessionOptions, Store};
use serde_json::{Value, json};

const MAX_TTL_MS: u64 = 86_400_000;
const DEFAULT_LOCK_DELAY_MS: u64 = 15_000;

pub(super) fn serve(listener: &Listener, request: &Request, page: &str) -> Response {
    let mut state = listener.shared.state();
    let store = &mut state.store;
    store.expire(now_ms());
    let response = match page.split_once('/') {
        None if page == "create" => create(store, &request.body),
        Some(("renew", id)) if store.renew_session(now_ms(), id) => {
            let session = &store.sessions[id];
            let (name, create_index) = (&session.options.name, session.create_index);
            Response::json(0, &json!([{"ID": id, "Name": name, "CreateIndex": create_index}]))
        }
        Some(("renew", id)) => Response::text(404, &format!("Session id '{id}' not found")),
        Some(("destroy", id)) => {
            store.destroy_session(now_ms(), id);
            Response::text(200, "true")
        }
        _ => Response::text(404, NO_SUCH_PAGE),
    };
    drop(state);
    listener.shared.notify_changed();
    response
}

fn create(store: &mut Store, body: &[u8]) -> Response {
    let options: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = |name: &str| options.get(name).and_then(Value::as_str);
    let ms = |text: &str| parse_duration(text).map(|duration| duration.as_millis() as u64);
    let ttl_ms = text("TTL").filter(|ttl| !ttl.is_empty()).and_then(ms);
    if ttl_ms.is_some_and(|ttl| ttl < store.min_ttl_ms || ttl > MAX_TTL_MS) {
        return Response::text(400, "Invalid Session TTL");
    }
    let options = SessionOptions {
        name: text("Name").unwrap_or_default().to_owned(),
        ttl_ms,
        lock_delay_ms: text("LockDelay").and_then(ms).unwrap_or(DEFAULT_LOCK_DELAY_MS),
        deletes_keys: text("Behavior") == Some("delete"),
    };
    let id = store.create_session(now_ms(), options);
    Response::json(0, &json!({"ID": id}))
}
