//! The error messages that operators read in the log.

use super::*;

#[test]
fn each_cause_of_a_store_error_has_its_message() {
    let unreadable = serde_json::from_str::<u8>("x").expect_err("no JSON");
    let unreadable_message = format!("the response of the store cannot be parsed: {unreadable}");
    let key = || "snowfield/duties/d".to_owned();
    let messages = [
        (StoreErrorCause::Status(500), "the store responded with the unexpected status 500"),
        (StoreErrorCause::UnreadableResponse(unreadable), unreadable_message.as_str()),
        (
            StoreErrorCause::UnusableSessionId { id: "../x".into() },
            "the store created a session whose id \"../x\" cannot be used in a path",
        ),
        (StoreErrorCause::SessionKeyHeld, "the key of the new session is held by another session"),
        (
            StoreErrorCause::ForeignValue { key: key() },
            "the value under the key \"snowfield/duties/d\" is not a lease record",
        ),
        (
            StoreErrorCause::RollbackWithoutError,
            "a transaction was rolled back, but the response lists no error",
        ),
        (
            StoreErrorCause::KeyMissingInResponse { key: key() },
            "a transaction succeeded, but the response does not contain the key \"snowfield/duties/d\"",
        ),
        (
            StoreErrorCause::Transport("connection reset".into()),
            "the HTTP request to the store failed: connection reset",
        ),
        (StoreErrorCause::NoResponse, "the store did not respond in time"),
        (StoreErrorCause::QueueFull, "the call was not sent because too many calls are queued"),
    ];
    for (cause, message) in messages {
        assert_eq!(cause.to_string(), message);
    }
}

#[test]
fn the_message_of_an_unknown_outcome_names_the_cause_and_that_the_call_may_have_been_applied() {
    let error = StoreError::OutcomeUnknown(StoreErrorCause::Status(500));
    assert_eq!(
        error.to_string(),
        "the store responded with the unexpected status 500; the call may have been applied"
    );
    assert_eq!(error.cause().to_string(), "the store responded with the unexpected status 500");
    assert_eq!(
        error.source().map(ToString::to_string),
        Some("the store responded with the unexpected status 500".to_owned())
    );
    assert_eq!(
        StoreError::NotApplied(StoreErrorCause::QueueFull).to_string(),
        "the call was not sent because too many calls are queued"
    );
}
