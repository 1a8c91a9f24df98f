//! Why bytes are no message that can be processed.

/// Bytes that are no message that can be processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// Not HTTP/1.1, or framed in an ambiguous way.
    #[error("{0}")]
    Malformed(#[from] MalformedMessage),
    /// The head exceeds a limit.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body exceeds a limit.
    #[error("the body is too large")]
    BodyTooLarge,
}

/// What is malformed in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.text())]
pub enum MalformedMessage {
    /// It is no HTTP/1.1.
    NotHttp11,
    /// A header's name holds bytes that no name has.
    HeaderName,
    /// A header's value holds bytes that no value has.
    HeaderValue,
    /// A request has no `Host`, or several.
    Host,
    /// There are several `Content-Length` fields.
    RepeatedContentLength,
    /// `Content-Length` is no number.
    InvalidContentLength,
    /// There are several `Transfer-Encoding` fields.
    RepeatedTransferEncoding,
    /// The transfer coding is not chunked.
    UnsupportedTransferEncoding,
    /// An HTTP/1.0 request has a `Transfer-Encoding`.
    TransferEncodingInHttp10,
    /// Both `Content-Length` and `Transfer-Encoding` frame the body.
    ConflictingFraming,
    /// The size of a chunk is no hexadecimal number.
    ChunkSize,
    /// The data of a chunk is not followed by a line's end.
    ChunkEnd,
    /// The trailer section is too long.
    TrailerTooLong,
    /// A response switches protocols without a request to do so.
    UnrequestedUpgrade,
    /// The connection ended before the response did.
    TruncatedResponse,
}

impl MalformedMessage {
    /// The text that clients and operators read.
    pub fn text(self) -> &'static str {
        match self {
            Self::NotHttp11 => "not HTTP/1.1",
            Self::HeaderName => "a header's name is malformed",
            Self::HeaderValue => "a header's value is malformed",
            Self::Host => "not exactly one Host",
            Self::RepeatedContentLength => "more than one Content-Length",
            Self::InvalidContentLength => "a Content-Length that is no number",
            Self::RepeatedTransferEncoding => "more than one Transfer-Encoding",
            Self::UnsupportedTransferEncoding => "a Transfer-Encoding other than chunked",
            Self::TransferEncodingInHttp10 => "Transfer-Encoding in HTTP/1.0",
            Self::ConflictingFraming => "both Content-Length and Transfer-Encoding",
            Self::ChunkSize => "a chunk's size is malformed",
            Self::ChunkEnd => "a chunk has no end",
            Self::TrailerTooLong => "a trailer is too long",
            Self::UnrequestedUpgrade => "an upgrade that nobody asked for",
            Self::TruncatedResponse => "an answer is cut short",
        }
    }
}

impl From<httparse::Error> for HttpError {
    fn from(error: httparse::Error) -> Self {
        match error {
            httparse::Error::TooManyHeaders => Self::HeadTooLarge,
            httparse::Error::HeaderName => MalformedMessage::HeaderName.into(),
            httparse::Error::HeaderValue => MalformedMessage::HeaderValue.into(),
            _ => MalformedMessage::NotHttp11.into(),
        }
    }
}

#[cfg(test)]
mod tests;
