//! The endpoint of transactions (`/v1/txn`).

use super::clock::now_ms;
use super::kv::{entry_json, entry_json_without_value};
use super::request::Request;
use super::response::Response;
use crate::listener::Listener;
use crate::store::{FailedOperation, KeyOperation, KeyValue, Operation};
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
    let is_read: Vec<bool> =
        operations.iter().map(|operation| operation.operation == Operation::Get).collect();
    let result = listener.update(|state| {
        state.store.expire_sessions(now_ms());
        state.store.transact(now_ms(), operations)
    });
    match result {
        Ok(results) => committed(&results, &is_read),
        Err(failures) => rolled_back(&failures),
    }
}

/// The response to a committed transaction. Only reads return values. `is_read` has an item for each operation.
fn committed(results: &[KeyValue], is_read: &[bool]) -> Response {
    let encode = |(position, KeyValue { key, entry }): (usize, &KeyValue)| {
        let with_value = is_read.get(position).copied().unwrap_or(false);
        let fields = if with_value { entry_json(key, entry) } else { entry_json_without_value(key, entry) };
        json!({"KV": fields})
    };
    let results: Vec<Value> = results.iter().enumerate().map(encode).collect();
    Response::json(0, &json!({"Results": results, "Errors": Value::Null}))
}

/// The response to a transaction that was not applied, with the error of each failed operation.
fn rolled_back(failures: &[FailedOperation]) -> Response {
    let encode =
        |failure: &FailedOperation| json!({"OpIndex": failure.position, "What": failure.error.to_string()});
    let errors: Vec<Value> = failures.iter().map(encode).collect();
    Response::text(409, &json!({"Results": Value::Null, "Errors": errors}).to_string())
}

/// Parses an operation; `None` if a required field is missing or a field is invalid.
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
