//! The page of transactions.

use super::kv::entry_json;
use super::now_ms;
use super::request::Request;
use super::response::Response;
use crate::consul::Listener;
use crate::store::{KeyOperation, Operation};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

const MAX_OPERATIONS: usize = 64;

pub(super) fn apply(listener: &Listener, request: &Request) -> Response {
    let Ok(Value::Array(list)) = serde_json::from_slice(&request.body) else {
        return Response::text(400, "not a list of operations");
    };
    if list.len() > MAX_OPERATIONS {
        return Response::text(413, "more than 64 operations");
    }
    let Some(operations) = list.iter().map(parse_operation).collect::<Option<Vec<_>>>() else {
        return Response::text(400, "an operation that cannot be read");
    };
    let reads: Vec<bool> = operations.iter().map(|operation| operation.operation == Operation::Get).collect();
    let mut state = listener.shared.state();
    state.store.expire(now_ms());
    let done = state.store.transact(now_ms(), operations);
    drop(state);
    listener.shared.notify_changed();
    match done {
        Ok(results) => {
            let result = |(i, result): (usize, &crate::store::KeyValue)| {
                let with_value = reads.get(i).copied().unwrap_or(false);
                json!({"KV": entry_json(&result.key, &result.entry, with_value)})
            };
            let results: Vec<Value> = results.iter().enumerate().map(result).collect();
            Response::json(0, &json!({"Results": results, "Errors": Value::Null}))
        }
        Err(errors) => {
            let errors: Vec<Value> = errors
                .iter()
                .map(|(position, error)| json!({"OpIndex": position, "What": error.to_string()}))
                .collect();
            Response::text(409, &json!({"Results": Value::Null, "Errors": errors}).to_string())
        }
    }
}

/// None where a part is missing or cannot be read.
fn parse_operation(value: &Value) -> Option<KeyOperation> {
    let kv = value.get("KV")?;
    let text = |name: &str| kv.get(name).and_then(Value::as_str);
    let number = |name: &str| kv.get(name).and_then(Value::as_u64).unwrap_or(0);
    let value = || text("Value").map_or(Some(Vec::new()), |encoded| STANDARD.decode(encoded).ok());
    let session = || text("Session").map(str::to_owned);
    let (flags, index) = (number("Flags"), number("Index"));
    let operation = match text("Verb")? {
        "cas" => Operation::Cas { value: value()?, flags, index },
        "set" => Operation::Set { value: value()?, flags },
        "get" => Operation::Get,
        "check-session" => Operation::CheckSession(session()?),
        "check-index" => Operation::CheckIndex(index),
        "delete" => Operation::Delete,
        "lock" => Operation::Lock { value: value()?, flags, session: session()? },
        _ => return None,
    };
    Some(KeyOperation { key: text("Key")?.to_owned(), operation })
}
