//! Configuration of the HTTP clients (`ureq::Agent`) for queries and registrations.

use crate::TokenFile;
use std::time::Duration;
use ureq::RequestBuilder;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_IDLE_AGE: Duration = Duration::from_secs(60);
/// Request header with the ACL token.
const TOKEN_HEADER: &str = "X-Consul-Token";

/// Creates an HTTP client that keeps at most one idle connection, follows no redirects, and returns error statuses as responses.
pub(crate) fn new_http_client() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .http_status_as_error(false)
        .max_redirects(0)
        // Proxy settings in the environment are ignored.
        .proxy(None)
        .max_idle_connections(1)
        .max_idle_age(MAX_IDLE_AGE)
        .user_agent("snowfield")
        .build()
        .into()
}

/// Sets the timeout of the complete call on a request, and adds the ACL token if there is one.
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
