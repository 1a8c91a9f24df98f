//! Why a call to the store failed, and whether it may have been applied.

use std::error::Error;

/// A call to the store that failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Nothing was applied: the call was rejected before that, or never sent.
    #[error("{0}")]
    NotApplied(#[source] StoreErrorCause),
    /// It may have been applied, or may yet be.
    #[error("{0}; it may have been applied")]
    OutcomeUnknown(#[source] StoreErrorCause),
}

/// What went wrong with a call to the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreErrorCause {
    /// The response has a status other than the expected ones.
    #[error("status {0}")]
    Status(u16),
    /// The response is not the JSON that is expected.
    #[error("a response that cannot be parsed: {0}")]
    UnreadableResponse(#[source] serde_json::Error),
    /// The store made a session whose id cannot be used in a path.
    #[error("a session with the unusable id {id:?}")]
    UnusableSessionId {
        /// The id.
        id: String,
    },
    /// The key that the session is to hold is held by another one.
    #[error("the session's own key is held by another")]
    SessionKeyHeld,
    /// A job's key holds something else than a lease record. It is never overwritten.
    #[error("key {key:?} holds no lease record")]
    ForeignValue {
        /// The key.
        key: String,
    },
    /// A transaction was rolled back without any reason.
    #[error("a conflict without a reason")]
    ConflictWithoutReason,
    /// A transaction succeeded, but the response does not name the job's key.
    #[error("a success that does not name the key {key:?}")]
    KeyMissingInResponse {
        /// The key.
        key: String,
    },
    /// The call failed in transport.
    #[error("{0}")]
    Transport(#[source] Box<dyn Error + Send + Sync>),
    /// No response came in time.
    #[error("no response")]
    NoResponse,
    /// The call was never sent, since too many wait.
    #[error("too many calls are queued")]
    QueueFull,
}

impl StoreError {
    /// What went wrong.
    pub fn cause(&self) -> &StoreErrorCause {
        let (Self::NotApplied(cause) | Self::OutcomeUnknown(cause)) = self;
        cause
    }
}

#[cfg(test)]
mod tests;
