//! Answers that this front gives itself, as problem details (RFC 9457).

/// An answer that no destination gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    status: u16,
    title: &'static str,
    detail: String,
    fields: String,
}

impl Problem {
    pub(crate) fn new(status: u16, title: &'static str, detail: &str) -> Self {
        Self { status, title, detail: detail.to_owned(), fields: String::new() }
    }

    pub(crate) fn malformed(detail: &str) -> Self {
        Self::new(400, "Bad Request", detail)
    }

    pub(crate) fn wrong_method(allowed: &str) -> Self {
        let mut problem = Self::new(405, "Method Not Allowed", "the path has other methods");
        problem.fields = format!("Allow: {allowed}\r\n");
        problem
    }

    /// Adds when to come back, in whole seconds and never too early; none where there is no advice.
    pub(crate) fn retry_after(mut self, micros: u64) -> Self {
        if micros > 0 {
            self.fields = format!("Retry-After: {}\r\n", micros.div_ceil(1_000_000));
        }
        self
    }

    /// The whole answer; to a HEAD request it has no body.
    pub(crate) fn bytes(&self, close: bool, to_head: bool) -> Vec<u8> {
        let Self { status, title, detail, fields } = self;
        let detail: String =
            detail.chars().map(|c| if c.is_control() || "\"\\".contains(c) { ' ' } else { c }).collect();
        let body = format!("{{\"title\":\"{title}\",\"status\":{status},\"detail\":\"{detail}\"}}\n");
        let length = body.len();
        let connection = if close { "Connection: close\r\n" } else { "" };
        let body = if to_head { "" } else { &body };
        format!(
            "HTTP/1.1 {status} {title}\r\n{fields}Content-Type: application/problem+json\r\n\
             Content-Length: {length}\r\n{connection}\r\n{body}"
        )
        .into_bytes()
    }
}

#[cfg(test)]
mod tests;
