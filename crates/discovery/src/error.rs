//! Why a watch has ended. The log shows the texts.

use std::io;

/// Why a watch has ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WatchError {
    /// The agent cannot be reached, or the connection failed.
    #[error("{0}")]
    Connection(#[from] io::Error),
    /// The agent has another address now.
    #[error("the agent has moved")]
    AddressChanged,
    /// The agent closed the connection.
    #[error("the agent closed it")]
    Closed,
    /// The agent did not answer 200.
    #[error("status {0}")]
    Status(u16),
    /// The response is no valid HTTP.
    #[error("{0}")]
    Http(#[from] http::HttpError),
    /// The body is no sequence of JSON objects, or one of them is too large or nests too deep.
    #[error("an unreadable list: {0}")]
    MalformedList(#[from] json_stream::Unreadable),
    /// An object is no list of endpoints.
    #[error("an unreadable list: {0}")]
    UnknownList(#[from] simd_json::Error),
    /// The response came to its end.
    #[error("the answer ended")]
    ResponseEnded,
}

#[cfg(test)]
mod tests;
