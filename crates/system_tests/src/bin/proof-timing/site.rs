//! The site under test: backends, the Consul catalogue that lists them, and gatekeepers with different settings.

use crate::backend::{Backend, ServiceTime};
use crate::client::{Client, OK};
use crate::settings::{Addresses, config_file};
use stand_in_consul::{Consul, Service};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};
use system_tests::gatekeeper_output::log_events::ENDPOINT_LIST_CHANGED;
use system_tests::{Distribution, Gatekeeper, TestDirectory, free_addresses, milliseconds};

pub(crate) const BACKENDS: usize = 10;
const CLIENTS: usize = 8;
const LOAD_DURATION: Duration = Duration::from_secs(8);
/// Time from a response to the next request of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Status and latency of a response to a client.
struct Response {
    status: u16,
    latency: Duration,
}

/// Latencies, served share and attempts of a load run.
pub(crate) struct LoadResult {
    /// Latencies of the served requests, ms.
    pub(crate) latencies_ms: Distribution,
    /// The share of requests that were served.
    pub(crate) served_share: f64,
    pub(crate) attempts_per_request: f64,
}

impl LoadResult {
    fn new(responses: &[Response], attempts: u64) -> Self {
        let served = responses.iter().filter(|response| response.status == OK);
        let latencies_ms: Distribution = served.map(|response| milliseconds(response.latency)).collect();
        let requests = responses.len() as f64;
        Self {
            served_share: latencies_ms.count() as f64 / requests,
            attempts_per_request: attempts as f64 / requests,
            latencies_ms,
        }
    }
}

/// Backends, and the Consul catalogue that lists them.
pub(crate) struct TestSite<'a> {
    directory: &'a TestDirectory,
    consul: Consul,
    backends: Vec<Backend>,
}

/// A gatekeeper that runs until this is dropped.
pub(crate) struct RunningGatekeeper {
    _process: Gatekeeper,
    pub(crate) address: SocketAddr,
}

impl<'a> TestSite<'a> {
    pub(crate) fn start(directory: &'a TestDirectory) -> Self {
        let backends = (0..BACKENDS).map(|_| Backend::start()).collect();
        Self { directory, consul: Consul::start(), backends }
    }

    /// Makes the catalogue list only the first `count` backends, and sets its index to `catalogue_index`.
    pub(crate) fn list_backends(&self, catalogue_index: u64, count: usize) {
        let listed = self.backends[..count].iter().enumerate();
        let services = listed.map(|(i, backend)| Service::new(&format!("loans-{i}"), backend.address));
        self.consul.set_service(catalogue_index, "loan-server", services.collect());
    }

    /// Starts a gatekeeper with these settings of its class, and waits until it has received the endpoint list.
    pub(crate) fn start_gatekeeper(&self, class_toml: &str) -> RunningGatekeeper {
        let free = free_addresses(2);
        let addresses = Addresses { listen: free[0], status: free[1], consul: self.consul.open().address };
        let path = self.directory.write("a.toml", &config_file(addresses, class_toml));
        let process = Gatekeeper::start(&["serve", &path]);
        process.wait_for_log(ENDPOINT_LIST_CHANGED);
        RunningGatekeeper { _process: process, address: addresses.listen }
    }

    /// Sets the service time of each backend to the value that `service_time` returns for its number.
    pub(crate) fn set_service_times(&self, service_time: impl Fn(usize) -> ServiceTime) {
        for (number, backend) in self.backends.iter().enumerate() {
            backend.set_service_time(service_time(number));
        }
    }

    /// Returns the number of attempts that have reached any backend so far.
    pub(crate) fn attempts(&self) -> u64 {
        self.backends.iter().map(Backend::requests).sum()
    }

    /// Sends requests from all clients for [`LOAD_DURATION`] and returns the figures.
    pub(crate) fn run_load(&self, gatekeeper: SocketAddr) -> LoadResult {
        let attempts_before = self.attempts();
        let stop_requested = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> =
            (0..CLIENTS).map(|_| start_client(gatekeeper, stop_requested.clone())).collect();
        sleep(LOAD_DURATION);
        stop_requested.store(true, Ordering::Relaxed);
        let responses: Vec<Response> =
            clients.into_iter().flat_map(|client| client.join().expect("a client thread panicked")).collect();
        LoadResult::new(&responses, self.attempts() - attempts_before)
    }
}

/// Starts a client thread that sends requests until `stop_requested` is set. The thread returns the responses.
fn start_client(gatekeeper: SocketAddr, stop_requested: Arc<AtomicBool>) -> JoinHandle<Vec<Response>> {
    thread::spawn(move || {
        let mut client = Client::connect(gatekeeper);
        let mut responses = Vec::new();
        while !stop_requested.load(Ordering::Relaxed) {
            let sent_at = Instant::now();
            let status = client.send_request();
            responses.push(Response { status, latency: sent_at.elapsed() });
            sleep(REQUEST_INTERVAL);
        }
        responses
    })
}
