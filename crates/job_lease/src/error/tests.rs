//! The error texts that operators read in the log.

use super::*;

#[test]
fn each_cause_has_its_text() {
    let unreadable = serde_json::from_str::<u8>("x").expect_err("no JSON");
    let unreadable_text = format!("a response that cannot be parsed: {unreadable}");
    let key = || "snowfield/duties/d".to_owned();
    let texts = [
        (StoreErrorCause::Status(500), "status 500"),
        (StoreErrorCause::UnreadableResponse(unreadable), unreadable_text.as_str()),
        (StoreErrorCause::UnusableSessionId { id: "../x".into() }, "a session with the unusable id \"../x\""),
        (StoreErrorCause::SessionKeyHeld, "the session's own key is held by another"),
        (StoreErrorCause::ForeignValue { key: key() }, "key \"snowfield/duties/d\" holds no lease record"),
        (StoreErrorCause::ConflictWithoutReason, "a conflict without a reason"),
        (
            StoreErrorCause::KeyMissingInResponse { key: key() },
            "a success that does not name the key \"snowfield/duties/d\"",
        ),
        (StoreErrorCause::Transport("connection reset".into()), "connection reset"),
        (StoreErrorCause::NoResponse, "no response"),
        (StoreErrorCause::QueueFull, "too many calls are queued"),
    ];
    for (cause, text) in texts {
        assert_eq!(cause.to_string(), text);
    }
}

#[test]
fn an_error_with_unknown_outcome_says_so_and_keeps_its_cause() {
    let error = StoreError::OutcomeUnknown(StoreErrorCause::Status(500));
    assert_eq!(error.to_string(), "status 500; it may have been applied");
    assert_eq!(error.cause().to_string(), "status 500");
    assert_eq!(error.source().map(ToString::to_string), Some("status 500".to_owned()));
    assert_eq!(StoreError::NotApplied(StoreErrorCause::QueueFull).to_string(), "too many calls are queued");
}
