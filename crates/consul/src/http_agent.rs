//! The HTTP client shared by queries and registrations.

use crate::TokenFile;
use std::time::Duration;
use ureq::RequestBuilder;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_IDLE: Duration = Duration::from_secs(60);
/// Request header with the ACL token.
const TOKEN_HEADER: &str = "X-Consul-Token";

/// Creates an HTTP client that keeps at most one idle connection alive.
pub(crate) fn http_agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .http_status_as_error(false)
        .max_redirects(0)
        // Ignores the proxy settings of the environment.
        .proxy(None)
        .max_idle_connections(1)
        .max_idle_age(MAX_IDLE)
        .user_agent("snowfield")
        .build()
        .into()
}

/// Adds the time-out for the complete call, and the ACL token if there is one.
pub(crate) fn with_timeout_and_token<Kind>(
    request: RequestBuilder<Kind>,
    timeout: Duration,
    token: &TokenFile,
) -> RequestBuilder<Kind> {
    let request = request.config().timeout_global(Some(timeout)).build();
    match token.current() {
        Some(token) => request.header(TOKEN_HEADER, token),
        None => request,
    }
}
