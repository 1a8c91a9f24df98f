//! The HTTP client that queries and registrations share.

use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_IDLE: Duration = Duration::from_secs(60);
/// The header that carries the ACL token.
pub(crate) const TOKEN_HEADER: &str = "X-Consul-Token";

/// A client that keeps one connection alive.
pub(crate) fn http_agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .http_status_as_error(false)
        .max_redirects(0)
        // An environment variable must not send queries elsewhere.
        .proxy(None)
        .max_idle_connections(1)
        .max_idle_age(MAX_IDLE)
        .user_agent("snowfield")
        .build()
        .into()
}
