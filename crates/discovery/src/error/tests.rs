//! Texts and sources of the errors that end a watch.

use super::*;
use settings::EndpointList;
use std::error::Error as _;

#[test]
fn errors_say_why_the_watch_ended_and_keep_their_source() {
    let refused = io::Error::new(io::ErrorKind::ConnectionRefused, "connection refused");
    let invalid = simd_json::serde::from_slice::<EndpointList>(&mut br#"{"rev":"x"}"#.to_vec())
        .expect_err("the version is not a number");
    let invalid_text = format!("the agent sent an invalid endpoint list: {invalid}");
    for (error, text, has_source) in [
        (WatchError::Connection(refused), "the connection to the agent failed: connection refused", true),
        (WatchError::AddressChanged, "the configured address of the agent changed during the connect", false),
        (WatchError::Closed, "the agent closed the connection", false),
        (WatchError::Status(403), "the agent responded with status 403", false),
        (
            WatchError::MalformedList(json_stream::StreamError::TooDeep),
            "the agent sent a malformed endpoint list: a JSON object is nested too deeply",
            true,
        ),
        (WatchError::InvalidList(invalid), &invalid_text, true),
        (WatchError::ResponseEnded, "the agent ended its response to the watch", false),
    ] {
        assert_eq!(error.to_string(), text);
        assert_eq!(error.source().is_some(), has_source, "{text}");
    }
}
