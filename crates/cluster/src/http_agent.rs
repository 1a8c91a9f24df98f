//! The HTTP client that runs and calls of the lease store share.

use ureq::Agent;
use ureq::config::ConfigBuilder;
use ureq::typestate::AgentScope;

/// Returns the configuration of a client that neither follows redirects nor reports a status as an error.
pub(crate) fn config_builder() -> ConfigBuilder<AgentScope> {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        // Ignore proxy settings in environment variables.
        .proxy(None)
        .user_agent("snowfield")
}
