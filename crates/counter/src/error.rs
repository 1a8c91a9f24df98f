//! Errors that end a connection to the counter.

/// Why the bytes from the counter are not the answer to a call.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AnswerError {
    /// The bytes are not valid RESP2.
    #[error("the counter's answer is not valid RESP2: {0}")]
    Malformed(#[from] resp::MalformedInput),
    /// An answer arrived without an unanswered call.
    #[error("the counter sent an answer while no call was unanswered")]
    Unexpected,
    /// The answer is neither a total nor a rejection.
    #[error("the counter's answer is neither a total nor a rejection")]
    InvalidAnswer,
}
