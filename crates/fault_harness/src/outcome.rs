//! How a request ended for its client.

use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// How a request ended for its client. The names in files are older than those of the variants, and stay.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// With a backend's answer.
    Served,
    /// Rejected by quota or for lack of capacity.
    #[serde(rename = "refused")]
    Rejected,
    /// With a failure.
    Failed,
    /// With an answer that no backend gave to it.
    Foreign,
    /// The client's timeout elapsed. In histories of `fault_injection` also: the connection ended.
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
    /// The name in tables and in a history's file.
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

    /// The outcome of a request that got this RESP2 reply. Backends answer with the request's id.
    pub fn of_resp_reply(reply: &str, request_id: &str) -> Self {
        match reply {
            text if text.starts_with("-BUSY") => Self::Rejected,
            text if text.starts_with('-') => Self::Failed,
            text if text == request_id => Self::Served,
            _ => Self::Foreign,
        }
    }

    /// The outcome of a request that got this HTTP status and body. Backends answer with the request's id.
    pub fn of_http_response(status: &str, body: &[u8], request_id: &str) -> Self {
        match status {
            "200" if body == request_id.as_bytes() => Self::Served,
            "200" => Self::Foreign,
            "429" | "503" => Self::Rejected,
            _ => Self::Failed,
        }
    }
}
