//! Errors that end a connection to the counter.

/// Why an answer is invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AnswerError {
    /// The bytes are not valid RESP2.
    #[error("{0}")]
    Malformed(#[from] resp::Malformed),
    /// There is no unanswered call.
    #[error("an answer to no call")]
    Unexpected,
    /// The answer is neither a total nor a rejection.
    #[error("an answer of an unknown form")]
    UnknownForm,
}
