//! Tests the outcomes of replies and responses, and the names of outcomes in stored histories.

use super::*;

#[test]
fn a_resp_reply_is_served_foreign_rejected_or_failed() {
    let outcome = |reply| Outcome::of_resp_reply(reply, "00000000000000ff");
    assert_eq!(outcome("00000000000000ff"), Outcome::Served);
    assert_eq!(outcome("00000000000000fe"), Outcome::Foreign);
    assert_eq!(outcome("ff"), Outcome::Foreign);
    assert_eq!(outcome("-BUSY 4"), Outcome::Rejected);
    assert_eq!(outcome("-ERR failed"), Outcome::Failed);
}

#[test]
fn an_http_response_is_served_foreign_rejected_or_failed() {
    let outcome = |status, body| Outcome::of_http_response(status, body, "7");
    assert_eq!(outcome("200", b"7"), Outcome::Served);
    assert_eq!(outcome("200", b"8"), Outcome::Foreign);
    assert_eq!([outcome("429", b""), outcome("503", b"")], [Outcome::Rejected; 2]);
    assert_eq!([outcome("500", b"7"), outcome("404", b"")], [Outcome::Failed; 2]);
}

#[test]
fn the_name_of_an_outcome_is_its_name_in_stored_histories() {
    for name in ["served", "refused", "failed", "foreign", "broken", "untaken", "closed", "left"] {
        let outcome: Outcome = serde_json::from_value(name.into()).expect("the name of an outcome");
        assert_eq!(outcome.name(), name);
    }
}
