//! Errors that end a watch. Their texts appear in the log.

use std::io;

/// Why a watch has ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WatchError {
    /// The connection to the agent failed.
    #[error("{0}")]
    Connection(#[from] io::Error),
    /// The configured address of the agent changed.
    #[error("the agent has moved")]
    AddressChanged,
    /// The agent closed the connection.
    #[error("the agent closed it")]
    Closed,
    /// The agent responded with a status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// The response is not valid HTTP.
    #[error("{0}")]
    Http(#[from] http::HttpError),
    /// The body is not a sequence of JSON objects, or an object is too large or nested too deeply.
    #[error("an unreadable list: {0}")]
    MalformedList(#[from] json_stream::StreamError),
    /// An object does not have the schema of an endpoint list.
    #[error("an unreadable list: {0}")]
    InvalidList(#[from] simd_json::Error),
    /// The response is complete. A watch has no regular end.
    #[error("the answer ended")]
    ResponseEnded,
}

#[cfg(test)]
mod tests;
