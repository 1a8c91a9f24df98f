//! Error texts, which operators read in the log.

use super::*;

#[test]
fn an_error_names_its_cause_or_the_length() {
    let cause = postcard::Error::DeserializeUnexpectedEnd;
    for (error, text) in [
        (Error::Io(io::ErrorKind::UnexpectedEof.into()), "unexpected end of file".to_owned()),
        (
            Error::FrameTooLong { length: 33_554_433 },
            "the peer announced a frame of 33554433 bytes, at most 33554432 are allowed".to_owned(),
        ),
        (Error::Encode(cause.clone()), format!("a message to the peer cannot be encoded: {cause}")),
        (Error::Decode(cause.clone()), format!("a frame from the peer holds no known message: {cause}")),
    ] {
        assert_eq!(error.to_string(), text);
    }
}
