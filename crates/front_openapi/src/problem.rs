//! Error responses that the front creates itself, as problem details (RFC 9457).

use exchange::FailureReason;
use http::HttpError;
use policy::Micros;

const MICROS_PER_SECOND: Micros = 1_000_000;

/// An error response that comes from the front, not from a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    status: u16,
    title: &'static str,
    detail: String,
    /// Additional header fields, each terminated by CRLF.
    fields: String,
}

impl Problem {
    pub(crate) fn new(status: u16, title: &'static str, detail: &str) -> Self {
        Self { status, title, detail: detail.to_owned(), fields: String::new() }
    }

    pub(crate) fn malformed(detail: &str) -> Self {
        Self::new(400, "Bad Request", detail)
    }

    /// The response to a method that the path does not have. `allowed` lists the path's methods, separated by commas.
    pub(crate) fn method_not_allowed(allowed: &str) -> Self {
        let mut problem = Self::new(405, "Method Not Allowed", "the path has other methods");
        problem.fields = format!("Allow: {allowed}\r\n");
        problem
    }

    /// The response to a request that was rejected or failed. `retry_after` is in microseconds; 0 stands for no retry time.
    pub(crate) fn not_served(reason: FailureReason, retry_after: Micros) -> Self {
        match reason {
            FailureReason::NoCapacity => {
                Self::new(429, "Too Many Requests", "the lender's quota or the destinations have no room")
                    .with_retry_after(retry_after.max(1))
            }
            FailureReason::NoBackend => Self::new(503, "Service Unavailable", "no destination is available")
                .with_retry_after(retry_after),
            FailureReason::BackendFailed => Self::new(502, "Bad Gateway", "the destination failed"),
            FailureReason::DeadlineExceeded => {
                Self::new(504, "Gateway Timeout", "no destination answered in time")
            }
        }
    }

    /// Adds the field `Retry-After` in whole seconds, rounded up, unless `retry_after` is 0.
    fn with_retry_after(mut self, retry_after: Micros) -> Self {
        if retry_after > 0 {
            self.fields = format!("Retry-After: {}\r\n", retry_after.div_ceil(MICROS_PER_SECOND));
        }
        self
    }

    /// Encodes the response. `close` adds `Connection: close`. The response to a HEAD request (`is_head`) has no body.
    pub(crate) fn encode(&self, close: bool, is_head: bool) -> Vec<u8> {
        let Self { status, title, detail, fields } = self;
        let needs_escape = |character: char| character.is_control() || "\"\\".contains(character);
        let detail: String =
            detail.chars().map(|character| if needs_escape(character) { ' ' } else { character }).collect();
        let body = format!("{{\"title\":\"{title}\",\"status\":{status},\"detail\":\"{detail}\"}}\n");
        let length = body.len();
        let connection = if close { "Connection: close\r\n" } else { "" };
        let body = if is_head { "" } else { &body };
        let response = format!(
            "HTTP/1.1 {status} {title}\r\n{fields}Content-Type: application/problem+json\r\n\
             Content-Length: {length}\r\n{connection}\r\n{body}"
        );
        response.into_bytes()
    }
}

impl From<HttpError> for Problem {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Malformed(message) => Self::malformed(message.text()),
            HttpError::HeadTooLarge => {
                Self::new(431, "Request Header Fields Too Large", "the head is too large")
            }
            HttpError::BodyTooLarge => Self::new(413, "Content Too Large", "the body is too large"),
        }
    }
}

#[cfg(test)]
mod tests;
