//! How a request ended for its client.

use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// How a request ended for its client. Stored histories have older names for some variants, which serde and [`Outcome::name`]
/// keep.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The client got a backend's answer.
    Served,
    /// The client got a rejection, because of a quota or for lack of capacity.
    #[serde(rename = "refused")]
    Rejected,
    /// The client got an error.
    Failed,
    /// The client got an answer that no backend gave to this request.
    Foreign,
    /// The client's timeout elapsed without an answer. In histories of `fault_injection` also: the connection ended.
    #[serde(rename = "broken")]
    Unanswered,
    /// The connection was not accepted, or was closed before the request was read.
    #[serde(rename = "untaken")]
    NotAccepted,
    /// The gatekeeper closed the connection without an answer.
    Closed,
    /// The client closed the connection before its answer.
    Left,
}

impl Outcome {
    /// The name of the outcome in tables and in stored histories.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Rejected => "refused",
            Self::Failed => "failed",
            Self::Foreign => "foreign",
            Self::Unanswered => "broken",
            Self::NotAccepted => "untaken",
            Self::Closed => "closed",
            Self::Left => "left",
        }
    }

    /// The outcome of a request that got this RESP2 reply. Backends answer a request with its id.
    pub fn of_resp_reply(reply: &str, request_id: &str) -> Self {
        match reply {
            text if text.starts_with("-BUSY") => Self::Rejected,
            text if text.starts_with('-') => Self::Failed,
            text if text == request_id => Self::Served,
            _ => Self::Foreign,
        }
    }

    /// The outcome of a request that got this HTTP status and body. Backends answer a request with its id.
    pub fn of_http_response(status: &str, body: &[u8], request_id: &str) -> Self {
        match status {
            "200" if body == request_id.as_bytes() => Self::Served,
            "200" => Self::Foreign,
            "429" | "503" => Self::Rejected,
            _ => Self::Failed,
        }
    }
}
