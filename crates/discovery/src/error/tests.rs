//! Texts and sources of the errors.

use super::*;
use settings::EndpointList;
use std::error::Error as _;

#[test]
fn errors_say_why_the_watch_ended_and_keep_their_source() {
    let refused = io::Error::new(io::ErrorKind::ConnectionRefused, "connection refused");
    let invalid =
        simd_json::serde::from_slice::<EndpointList>(&mut br#"{"rev":"x"}"#.to_vec()).expect_err("no list");
    let invalid_text = format!("an unreadable list: {invalid}");
    for (error, text, has_source) in [
        (WatchError::Connection(refused), "connection refused", true),
        (WatchError::AddressChanged, "the agent has moved", false),
        (WatchError::Closed, "the agent closed it", false),
        (WatchError::Status(403), "status 403", false),
        (
            WatchError::MalformedList(json_stream::StreamError::TooDeep),
            "an unreadable list: an object that nests too deep",
            true,
        ),
        (WatchError::InvalidList(invalid), &invalid_text, true),
        (WatchError::ResponseEnded, "the answer ended", false),
    ] {
        assert_eq!(error.to_string(), text);
        assert_eq!(error.source().is_some(), has_source, "{text}");
    }
}
