//! Requests to Consul, and the parsing of complete, truncated and invalid responses.

use super::*;
use crate::{CompareAndSetOutcome, RunId, StoreError};

fn keys() -> LeaseKeys {
    LeaseKeys { prefix: "snowfield".into() }
}

fn response(status: u16, body: &str) -> Response {
    Response { status, index: 9, body: body.as_bytes().to_vec() }
}

#[test]
fn a_session_acquires_its_own_key_and_an_id_unusable_in_a_path_is_rejected() {
    let keys = keys();
    let session = keys.created_session(&response(200, r#"{"ID":"11-ab"}"#)).expect("a session");
    assert_eq!(session.key, "snowfield/holders/11-ab");
    let acquire = Request::acquire_session_key(&session, "a");
    assert_eq!(acquire.target, "/v1/kv/snowfield/holders/11-ab?acquire=11-ab");
    assert!(matches!(response(200, "false").key_acquired(), Ok(false)));
    assert!(matches!(response(404, "").session_exists(), Ok(false)));
    let unusable = keys.created_session(&response(200, r#"{"ID":"../x"}"#));
    assert!(matches!(unusable, Err(StoreError::OutcomeUnknown(_))));
}

#[test]
fn only_a_complete_response_or_a_rejection_states_the_outcome_of_a_write() {
    let keys = keys();
    let outcome = |status, body: &str| keys.compare_and_set_outcome(&response(status, body), "d");
    let applied = r#"{"Results":[{"KV":{"Key":"snowfield/holders/x","ModifyIndex":3}},
        {"KV":{"Key":"snowfield/duties/d","ModifyIndex":12}}],"Errors":null}"#;
    assert!(matches!(outcome(200, applied), CompareAndSetOutcome::Applied { modify_index: 12 }));
    let conflict = r#"{"Results":null,"Errors":[{"OpIndex":1,"What":"index"}]}"#;
    assert!(matches!(outcome(409, conflict), CompareAndSetOutcome::Conflict));
    let session_ended = r#"{"Results":null,"Errors":[{"OpIndex":0,"What":"session"}]}"#;
    assert!(matches!(outcome(409, session_ended), CompareAndSetOutcome::SessionEnded));
    let not_applied = |outcome| matches!(outcome, CompareAndSetOutcome::Failed(StoreError::NotApplied(_)));
    let unknown = |outcome| matches!(outcome, CompareAndSetOutcome::Failed(StoreError::OutcomeUnknown(_)));
    assert!(not_applied(outcome(429, "")));
    assert!(unknown(outcome(500, "")));
    assert!(unknown(outcome(200, "{}")));
    assert!(unknown(outcome(200, &applied[..40])), "truncated");
}

#[test]
fn a_value_that_is_not_a_lease_record_is_an_error_and_not_an_absent_key() {
    let keys = keys();
    let value = STANDARD.encode(r#"{"round":5,"by":"a","id":2}"#);
    let body = format!(r#"[{{"Key":"snowfield/duties/d","ModifyIndex":7,"Value":"{value}"}}]"#);
    let jobs = ["d".to_owned(), "e".to_owned()];
    let listing = keys.listing(&response(200, &body), &jobs).expect("a listing");
    let lease = listing.leases[0].lease.as_ref();
    assert_eq!(lease.map(|lease| (lease.record.run, lease.modify_index)), Some((RunId(5), 7)));
    assert_eq!(listing.leases[1].lease, None);
    assert_eq!(keys.listing(&response(404, ""), &jobs).expect("no keys").leases[0].lease, None);
    let foreign = body.replace(&value, "bm9uZQ==");
    assert!(keys.listing(&response(200, &foreign), &jobs).is_err());
    assert!(keys.listing(&response(500, ""), &jobs).is_err());
}

#[test]
fn truncated_and_invalid_responses_do_not_panic() {
    let body = r#"{"Results":[{"KV":{"Key":"snowfield/duties/d","ModifyIndex":12}}],"Errors":null}"#;
    fuzz_inputs::assert_no_panic_on_malformed_input(body.as_bytes(), |pieces| {
        for status in [200, 409] {
            let response = Response { status, index: 0, body: pieces.concat() };
            let _ = keys().compare_and_set_outcome(&response, "d");
            let _ = keys().listing(&response, &["d".into()]);
            let _ = keys().created_session(&response);
        }
    });
}
