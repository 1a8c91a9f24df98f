//! Client of Consul's health API: sends blocking queries for the instances of a service.

use crate::error::QueryError;
use crate::http_agent::{new_http_client, with_timeout_and_token};
use crate::{ConsulConfig, TokenFile, WatchConfig};
use catalogue::{HealthResponse, Query};
use http::percent_encode;
use std::fmt::Write;
use std::time::Duration;
use ureq::Body;
use ureq::http::{Response, StatusCode};

/// Maximum size of a response body in bytes, after decompression.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Time by which the timeout of a query exceeds the query's maximum wait. This margin allows for the round trip and for an
/// agent under load.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Consul extends the wait by a random jitter of up to the wait divided by this number, so that blocking queries end at different
/// times.
const WAIT_JITTER_DIVISOR: u32 = 16;

/// Response header with the index for the next blocking query.
const INDEX_HEADER: &str = "x-consul-index";
/// Response header that tells whether the servers have a leader.
const KNOWN_LEADER_HEADER: &str = "x-consul-knownleader";
/// Response header with the milliseconds since the responding server last heard from the leader.
const LAST_CONTACT_HEADER: &str = "x-consul-lastcontact";

/// A valid health response and its index (`X-Consul-Index`).
pub(crate) struct IndexedResponse {
    pub(crate) index: u64,
    pub(crate) body: HealthResponse,
}

/// Sends health queries to the configured agents.
pub(crate) struct HealthClient {
    config: ConsulConfig,
    http_client: ureq::Agent,
    token: TokenFile,
}

impl HealthClient {
    pub(crate) fn new(config: &ConsulConfig) -> Self {
        let token = TokenFile::new(config.token_file.clone());
        Self { config: config.clone(), http_client: new_http_client(), token }
    }

    /// Queries the instances of a service with their health. Blocks until the agent responds or the query times out.
    pub(crate) fn query_health(
        &self,
        watch: &WatchConfig,
        query: &Query,
    ) -> Result<IndexedResponse, QueryError> {
        let mut response = self.send(watch, query)?;
        if response.status() != StatusCode::OK {
            return Err(QueryError::Status(response.status().as_u16()));
        }
        let index = number_in_header(&response, INDEX_HEADER);
        self.check_staleness(&response, query)?;
        let bytes = response.body_mut().with_config().limit(MAX_BODY_BYTES).read_to_vec()?;
        let body = HealthResponse::parse(&bytes)?;
        Ok(IndexedResponse { index, body })
    }

    fn send(&self, watch: &WatchConfig, query: &Query) -> Result<Response<Body>, QueryError> {
        let address = self.config.agents[query.agent];
        let url = format!("http://{address}{}", request_target(&self.config, watch, query));
        let timeout = self.max_wait(query) + QUERY_TIMEOUT;
        let request = with_timeout_and_token(self.http_client.get(&url), timeout, &self.token);
        Ok(request.call()?)
    }

    /// Maximum time for which the agent may hold the query before it responds.
    fn max_wait(&self, query: &Query) -> Duration {
        let wait = self.config.blocking_wait;
        let is_blocking = query.index > 0;
        if is_blocking { wait + wait / WAIT_JITTER_DIVISOR } else { Duration::ZERO }
    }

    fn check_staleness(&self, response: &Response<Body>, query: &Query) -> Result<(), QueryError> {
        if header(response, KNOWN_LEADER_HEADER).eq_ignore_ascii_case("false") {
            return Err(QueryError::NoLeader);
        }
        let since_contact = Duration::from_millis(number_in_header(response, LAST_CONTACT_HEADER));
        if query.allow_stale && self.config.max_staleness.is_some_and(|max| since_contact > max) {
            return Err(QueryError::Stale { since_contact });
        }
        Ok(())
    }
}

fn header<'a>(response: &'a Response<Body>, name: &str) -> &'a str {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Returns the number in a header, or 0 if the header is missing or invalid.
fn number_in_header(response: &Response<Body>, name: &str) -> u64 {
    header(response, name).trim().parse().unwrap_or(0)
}

/// Returns the request target of a health query: the path and the query string.
fn request_target(config: &ConsulConfig, watch: &WatchConfig, query: &Query) -> String {
    let mut target = format!("/v1/health/service/{}", percent_encode(&watch.service));
    let mut separator = '?';
    let mut add = |name: &str, value: Option<&str>| {
        // Writing to a string cannot fail.
        let _ = write!(target, "{separator}{name}");
        if let Some(value) = value.filter(|value| !value.is_empty()) {
            let _ = write!(target, "={}", percent_encode(value));
        }
        separator = '&';
    };
    let options = [
        ("dc", &config.datacenter),
        ("ns", &config.namespace),
        ("partition", &config.partition),
        ("tag", &watch.tag),
        ("filter", &watch.filter),
    ];
    for (name, value) in options {
        if let Some(value) = value {
            add(name, Some(value));
        }
    }
    if query.allow_stale {
        add("stale", None);
    }
    if query.index > 0 {
        add("index", Some(&query.index.to_string()));
        add("wait", Some(&format!("{}ms", config.blocking_wait.as_millis())));
    }
    target
}
