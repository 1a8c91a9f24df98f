//! Errors that end a connection to the counter.

/// Why the bytes from the counter are not the answer to a call.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AnswerError {
    /// The bytes violate RESP2, so the end of the answer is unknown.
    #[error("the counter's answer is not valid RESP2: {0}")]
    Malformed(#[from] resp::MalformedInput),
    /// All calls on the connection had been answered when another answer arrived.
    #[error("the counter sent an answer while no call was unanswered")]
    Unexpected,
    /// The answer is valid RESP2 of another type or with another text than the protocol has.
    #[error("the counter's answer is neither the sum of the count nor a rejection")]
    InvalidAnswer,
}
