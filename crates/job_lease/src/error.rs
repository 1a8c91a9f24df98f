//! Errors of store calls, by whether the call may have been applied.

use std::error::Error;

/// A call to the store that failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The call was not applied. It was rejected or never sent.
    #[error("{0}")]
    NotApplied(#[source] StoreErrorCause),
    /// The call may have been applied, or may still be applied.
    #[error("{0}; it may have been applied")]
    OutcomeUnknown(#[source] StoreErrorCause),
}

/// The cause of a [`StoreError`].
#[derive(Debug, thiserror::Error)]
pub enum StoreErrorCause {
    /// The response has an unexpected status.
    #[error("status {0}")]
    Status(u16),
    /// The response body is not the expected JSON.
    #[error("a response that cannot be parsed: {0}")]
    UnreadableResponse(#[source] serde_json::Error),
    /// The id of a created session cannot be used in a path.
    #[error("a session with the unusable id {id:?}")]
    UnusableSessionId {
        /// The session id.
        id: String,
    },
    /// Another session holds the key of the new session.
    #[error("the session's own key is held by another")]
    SessionKeyHeld,
    /// The value under a job's key is not a lease record. It is never overwritten.
    #[error("key {key:?} holds no lease record")]
    ForeignValue {
        /// The key.
        key: String,
    },
    /// A transaction was rolled back, but the response lists no error.
    #[error("a conflict without a reason")]
    ConflictWithoutReason,
    /// A transaction succeeded, but the response does not contain the job's key.
    #[error("a success that does not name the key {key:?}")]
    KeyMissingInResponse {
        /// The key.
        key: String,
    },
    /// The HTTP call failed.
    #[error("{0}")]
    Transport(#[source] Box<dyn Error + Send + Sync>),
    /// The call timed out.
    #[error("no response")]
    NoResponse,
    /// The call was not sent because the call queue is full.
    #[error("too many calls are queued")]
    QueueFull,
}

impl StoreError {
    /// Returns the cause of the error.
    pub fn cause(&self) -> &StoreErrorCause {
        let (Self::NotApplied(cause) | Self::OutcomeUnknown(cause)) = self;
        cause
    }
}

#[cfg(test)]
mod tests;
