//! One query of the health page.

use crate::{TokenFile, WatchConfig};
use catalogue::HealthResponse;
use catalogue::Query;
use http::percent_encode;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The most bytes of a body, unpacked.
const LARGEST: u64 = 64 * 1024 * 1024;
const CONNECT: Duration = Duration::from_secs(1);
/// Beyond what a query may wait for: the way there and back, and an agent under load.
const SLACK: Duration = Duration::from_secs(2);

/// Where Consul is, and how it is asked.
#[derive(Clone, Debug)]
pub struct ConsulConfig {
    /// Its agents, in the order of preference.
    pub agents: Vec<SocketAddr>,
    /// The file that holds the ACL token; read anew for each query.
    pub token_file: Option<PathBuf>,
    /// Datacentre, namespace and partition, where not the agent's own.
    pub datacenter: Option<String>,
    /// See above.
    pub namespace: Option<String>,
    /// See above.
    pub partition: Option<String>,
    /// Answers may come from a server that has heard from the leader this lately, in milliseconds; `None` asks the
    /// leader.
    pub max_stale_ms: Option<u64>,
    /// How long a blocking query may stay open.
    pub blocking_wait: Duration,
}

/// Why there is no answer. No text holds a token.
#[derive(Debug)]
pub(crate) enum Problem {
    /// It is too old, or there is no leader.
    TooStale(String),
    /// There is none that can be used.
    Failed(String),
}

/// An answer and its index.
pub(crate) struct HealthAnswer {
    pub(crate) index: u64,
    pub(crate) body: HealthResponse,
}

/// Asks the agents of one source.
pub(crate) struct Asker {
    source: ConsulConfig,
    agent: ureq::Agent,
    token: TokenFile,
}

pub(crate) fn client(connections: usize) -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_connect(Some(CONNECT))
        .http_status_as_error(false)
        .max_redirects(0)
        // An environment variable must not send queries elsewhere.
        .proxy(None)
        .max_idle_connections(connections)
        .max_idle_age(Duration::from_secs(60))
        .user_agent("snowfield")
        .build()
        .into()
}

impl Asker {
    pub(crate) fn new(source: &ConsulConfig) -> Self {
        Self { source: source.clone(), agent: client(1), token: TokenFile::new(source.token_file.clone()) }
    }

    /// Asks for the health of a service.
    pub(crate) fn health(&self, watched: &WatchConfig, query: &Query) -> Result<HealthAnswer, Problem> {
        let failed = |why: String| Problem::Failed(why);
        let address = self.source.agents[query.agent];
        let url = format!("http://{address}{}", target(&self.source, watched, query));
        let wait = if query.index > 0 {
            self.source.blocking_wait + self.source.blocking_wait / 16
        } else {
            Duration::ZERO
        };
        let mut request = self.agent.get(&url).config().timeout_global(Some(wait + SLACK)).build();
        if let Some(token) = self.token.current() {
            request = request.header("X-Consul-Token", token);
        }
        let mut answer = request.call().map_err(|e| failed(e.to_string()))?;
        if answer.status() != 200 {
            return Err(failed(format!("status {}", answer.status().as_u16())));
        }
        let field = |name: &str| {
            answer.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
        };
        let index = field("x-consul-index").trim().parse().unwrap_or(0);
        if field("x-consul-knownleader").eq_ignore_ascii_case("false") {
            return Err(Problem::TooStale("the servers have no leader".into()));
        }
        let contact: u64 = field("x-consul-lastcontact").trim().parse().unwrap_or(0);
        if query.allow_stale && self.source.max_stale_ms.is_some_and(|most| contact > most) {
            return Err(Problem::TooStale(format!("the server heard from its leader {contact} ms ago")));
        }
        let bytes = answer.body_mut().with_config().limit(LARGEST).read_to_vec();
        let bytes = bytes.map_err(|e| failed(e.to_string()))?;
        let body = catalogue::read(&bytes).map_err(failed)?;
        Ok(HealthAnswer { index, body })
    }
}

/// Path and query of a query.
fn target(source: &ConsulConfig, watched: &WatchConfig, query: &Query) -> String {
    let mut target = format!("/v1/health/service/{}", percent_encode(&watched.service));
    let mut first = true;
    let mut put = |name: &str, value: &str| {
        let _ = write!(target, "{}{name}", if std::mem::take(&mut first) { '?' } else { '&' });
        if !value.is_empty() {
            let _ = write!(target, "={}", percent_encode(value));
        }
    };
    let named = [
        ("dc", &source.datacenter),
        ("ns", &source.namespace),
        ("partition", &source.partition),
        ("tag", &watched.tag),
        ("filter", &watched.filter),
    ];
    for (name, value) in named {
        if let Some(value) = value {
            put(name, value);
        }
    }
    if query.allow_stale {
        put("stale", "");
    }
    if query.index > 0 {
        put("index", &query.index.to_string());
        put("wait", &format!("{}ms", source.blocking_wait.as_millis()));
    }
    target
}
