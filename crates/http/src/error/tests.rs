//! The error texts, which clients receive in problem details.

use super::*;

#[test]
fn an_error_names_what_is_malformed_or_too_large() {
    use MalformedMessage::*;
    for (message, text) in [
        (NotHttp11, "not HTTP/1.1"),
        (HeaderName, "a header's name is malformed"),
        (HeaderValue, "a header's value is malformed"),
        (Host, "not exactly one Host"),
        (RepeatedContentLength, "more than one Content-Length"),
        (InvalidContentLength, "a Content-Length that is no number"),
        (RepeatedTransferEncoding, "more than one Transfer-Encoding"),
        (UnsupportedTransferEncoding, "a Transfer-Encoding other than chunked"),
        (TransferEncodingInHttp10, "Transfer-Encoding in HTTP/1.0"),
        (ConflictingFraming, "both Content-Length and Transfer-Encoding"),
        (ChunkSize, "a chunk's size is malformed"),
        (ChunkEnd, "a chunk has no end"),
        (TrailerTooLong, "a trailer is too long"),
        (UnrequestedUpgrade, "an upgrade that nobody asked for"),
        (TruncatedResponse, "an answer is cut short"),
    ] {
        assert_eq!((message.text(), HttpError::from(message).to_string().as_str()), (text, text));
    }
    assert_eq!(HttpError::HeadTooLarge.to_string(), "the head is too large");
    assert_eq!(HttpError::BodyTooLarge.to_string(), "the body is too large");
}
