//! Why a connection to the counter is of no further use.

/// An answer that cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AnswerError {
    /// The bytes are no RESP2.
    #[error("{0}")]
    Malformed(#[from] resp::Malformed),
    /// No call waits for an answer.
    #[error("an answer to no call")]
    Unexpected,
    /// The answer is neither a total nor a rejection.
    #[error("an answer of an unknown form")]
    UnknownForm,
}
