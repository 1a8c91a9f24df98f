//! Backends, a catalogue of them, and gatekeepers of different settings.

use crate::backend::{Backend, Latency};
use crate::client::{Client, OK};
use crate::settings::{Addresses, settings};
use stand_in_consul::{Consul, Service};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};
use system_tests::gatekeeper_output::log_events::ENDPOINT_LIST_CHANGED;
use system_tests::{Gatekeeper, TestDirectory, free_addresses};

pub(crate) const BACKENDS: usize = 10;
const CLIENTS: usize = 8;
/// How long the load of a measurement lasts.
const LOAD_DURATION: Duration = Duration::from_secs(8);
/// Between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// An answer of the load.
struct Answer {
    status: u16,
    latency_ms: f64,
}

/// What the load came to.
pub(crate) struct LoadResult {
    /// Of requests that were served, ms, sorted.
    pub(crate) latencies_ms: Vec<f64>,
    /// The share that was served.
    pub(crate) served: f64,
    /// Attempts for each request.
    pub(crate) attempts: f64,
}

/// Backends and their catalogue.
pub(crate) struct TestSite<'a> {
    folder: &'a TestDirectory,
    consul: Consul,
    backends: Vec<Backend>,
}

/// A gatekeeper that runs until this is dropped.
pub(crate) struct RunningGatekeeper {
    _gatekeeper: Gatekeeper,
    pub(crate) address: SocketAddr,
}

impl<'a> TestSite<'a> {
    pub(crate) fn start(folder: &'a TestDirectory) -> Self {
        let backends = (0..BACKENDS).map(|_| Backend::start()).collect();
        Self { folder, consul: Consul::start(), backends }
    }

    /// Makes the catalogue list the first backends.
    pub(crate) fn list_backends(&self, index: u64, count: usize) {
        let listed = self.backends[..count].iter().enumerate();
        let services = listed.map(|(i, backend)| Service::new(&format!("loans-{i}"), backend.address));
        self.consul.set_service(index, "loan-server", services.collect());
    }

    /// Starts a gatekeeper with these settings of its class.
    pub(crate) fn start_gatekeeper(&self, class: &str) -> RunningGatekeeper {
        let ports = free_addresses(2);
        let consul = self.consul.open().address;
        let addresses = Addresses { listen: ports[0], status: ports[1], consul };
        let path = self.folder.write("a.toml", &settings(addresses, class));
        let gatekeeper = Gatekeeper::start(&["serve", &path]);
        gatekeeper.wait_for_log(ENDPOINT_LIST_CHANGED);
        RunningGatekeeper { _gatekeeper: gatekeeper, address: ports[0] }
    }

    /// Sets the latency of each backend by its number.
    pub(crate) fn set_latencies(&self, latency: impl Fn(usize) -> Latency) {
        self.backends.iter().enumerate().for_each(|(i, backend)| backend.set_latency(latency(i)));
    }

    /// Requests that backends got so far.
    pub(crate) fn backend_requests(&self) -> u64 {
        self.backends.iter().map(Backend::requests).sum()
    }

    /// Puts load on a gatekeeper for a while.
    pub(crate) fn load(&self, gatekeeper: SocketAddr) -> LoadResult {
        let (before, is_over) = (self.backend_requests(), Arc::new(AtomicBool::new(false)));
        let clients: Vec<_> = (0..CLIENTS).map(|_| start_client(gatekeeper, is_over.clone())).collect();
        sleep(LOAD_DURATION);
        is_over.store(true, Ordering::Relaxed);
        let answers: Vec<Answer> =
            clients.into_iter().flat_map(|client| client.join().expect("no client fails")).collect();
        let served = answers.iter().filter(|answer| answer.status == OK);
        let mut latencies_ms: Vec<f64> = served.map(|answer| answer.latency_ms).collect();
        latencies_ms.sort_by(f64::total_cmp);
        let count = answers.len() as f64;
        LoadResult {
            served: latencies_ms.len() as f64 / count,
            attempts: (self.backend_requests() - before) as f64 / count,
            latencies_ms,
        }
    }
}

fn start_client(gatekeeper: SocketAddr, is_over: Arc<AtomicBool>) -> JoinHandle<Vec<Answer>> {
    thread::spawn(move || {
        let (mut client, mut answers) = (Client::connect(gatekeeper), Vec::new());
        while !is_over.load(Ordering::Relaxed) {
            let begin = Instant::now();
            let status = client.send_request();
            answers.push(Answer { status, latency_ms: begin.elapsed().as_secs_f64() * 1e3 });
            sleep(REQUEST_INTERVAL);
        }
        answers
    })
}
