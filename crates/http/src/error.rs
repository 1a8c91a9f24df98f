//! Errors of parsing.

/// Bytes that are not a message which can be processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// It is not HTTP/1.1, or its framing is ambiguous.
    #[error("{0}")]
    Malformed(#[from] MalformedMessage),
    /// The head exceeds a limit.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body exceeds a limit.
    #[error("the body is too large")]
    BodyTooLarge,
}

/// The part of a message that is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.text())]
pub enum MalformedMessage {
    /// It is not HTTP/1.1.
    NotHttp11,
    /// A header's name holds invalid bytes.
    HeaderName,
    /// A header's value holds invalid bytes.
    HeaderValue,
    /// A request has no `Host`, or several.
    Host,
    /// There are several `Content-Length` fields.
    RepeatedContentLength,
    /// `Content-Length` is not a number.
    InvalidContentLength,
    /// There are several `Transfer-Encoding` fields.
    RepeatedTransferEncoding,
    /// The transfer coding is not chunked.
    UnsupportedTransferEncoding,
    /// An HTTP/1.0 request has a `Transfer-Encoding`.
    TransferEncodingInHttp10,
    /// Both `Content-Length` and `Transfer-Encoding` frame the body.
    ConflictingFraming,
    /// The size of a chunk is not a hexadecimal number.
    ChunkSize,
    /// The data of a chunk is not followed by CRLF.
    ChunkEnd,
    /// The trailer section is too long.
    TrailerTooLong,
    /// A response switches protocols without a request to do so.
    UnrequestedUpgrade,
    /// The connection ended before the response did.
    TruncatedResponse,
}

impl MalformedMessage {
    /// Returns the text that clients and operators read.
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
