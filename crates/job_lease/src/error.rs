//! Errors of calls to the lease store, distinguished by whether the call may have been applied.

use std::error::Error;

/// Why a call to the lease store failed, and whether the store may have applied it.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store rejected the call, or the call was never sent.
    #[error("{0}")]
    NotApplied(#[source] StoreErrorCause),
    /// The call may have been applied, or may still be applied.
    #[error("{0}; the call may have been applied")]
    OutcomeUnknown(#[source] StoreErrorCause),
}

/// The cause of a [`StoreError`].
#[derive(Debug, thiserror::Error)]
pub enum StoreErrorCause {
    /// The response has an unexpected HTTP status.
    #[error("the store responded with the unexpected status {0}")]
    Status(u16),
    /// The response body is not the expected JSON.
    #[error("the response of the store cannot be parsed: {0}")]
    UnreadableResponse(#[source] serde_json::Error),
    /// The id of a created session cannot be used in a path.
    #[error("the store created a session whose id {id:?} cannot be used in a path")]
    UnusableSessionId {
        /// The session id that the store assigned.
        id: String,
    },
    /// Another session holds the key of the new session.
    #[error("the key of the new session is held by another session")]
    SessionKeyHeld,
    /// Another program has written a value under a job's key. The value is never overwritten.
    #[error("the value under the key {key:?} is not a lease record")]
    ForeignValue {
        /// The full key of the job, with the prefix.
        key: String,
    },
    /// The store responded with status 409 to a transaction without saying which operation failed.
    #[error("a transaction was rolled back, but the response lists no error")]
    RollbackWithoutError,
    /// The store confirmed a transaction without the job's key, so the new index of the key is unknown.
    #[error("a transaction succeeded, but the response does not contain the key {key:?}")]
    KeyMissingInResponse {
        /// The full key of the job, with the prefix.
        key: String,
    },
    /// The HTTP client failed to send the request or to read the response.
    #[error("the HTTP request to the store failed: {0}")]
    Transport(#[source] Box<dyn Error + Send + Sync>),
    /// The timeout of the call passed without a complete response.
    #[error("the store did not respond in time")]
    NoResponse,
    /// The call was not sent because the call queue is full.
    #[error("the call was not sent because too many calls are queued")]
    QueueFull,
}

impl StoreError {
    /// Returns the cause, which does not say whether the store may have applied the call.
    pub fn cause(&self) -> &StoreErrorCause {
        let (Self::NotApplied(cause) | Self::OutcomeUnknown(cause)) = self;
        cause
    }
}

#[cfg(test)]
mod tests;
