//! The HTTP client configuration shared by runs and by calls to the lease store.

use ureq::Agent;
use ureq::config::ConfigBuilder;
use ureq::typestate::AgentScope;

/// Returns the configuration of a client that neither follows redirects nor turns an error status into an error.
pub(crate) fn config_builder() -> ConfigBuilder<AgentScope> {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        // Ignore proxy settings in environment variables.
        .proxy(None)
        .user_agent("snowfield")
}
