//! One turn of a build: a start of the gatekeeper, a warm-up and a measurement under load.

use crate::client::Client;
use crate::config::config_file;
use crate::stand_ins::StandIns;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use system_tests::gatekeeper_output::log_events::SERVING;
use system_tests::{Gatekeeper, TestDirectory, free_addresses};

pub(crate) const CLIENTS: u32 = 8;
/// Number of measured requests of each client.
pub(crate) const REQUESTS: u32 = 4_000;
/// Number of requests of each client before the measurement. They let the gatekeeper grow its tables.
const WARM_UP_REQUESTS: u32 = 500;

/// Processor time and memory in one turn.
pub(crate) struct TurnCost {
    /// Processor time per request, us.
    pub(crate) cpu_us_per_request: f64,
    /// Resident memory at the end of the turn, kB.
    pub(crate) memory_kb: u64,
}

/// Starts a build and measures it under load.
pub(crate) fn measure_turn(build: &Path, stand_ins: &StandIns) -> TurnCost {
    let directory = TestDirectory::new("platform-cost");
    let listen = free_addresses(1)[0];
    let file = directory.write("config.json", &config_file(listen, stand_ins));
    let gatekeeper = Gatekeeper::start_build(build, &[], &[("BALANCER_CONFIG", file)]);
    gatekeeper.wait_for_log(SERVING);
    send_from_all_clients(listen, 0, WARM_UP_REQUESTS);
    let before = gatekeeper.resource_usage();
    let served = send_from_all_clients(listen, CLIENTS, REQUESTS);
    let after = gatekeeper.resource_usage();
    assert_eq!(served, CLIENTS * REQUESTS, "not all requests were served");
    let cpu_us = (after.cpu_ms - before.cpu_ms) as f64 * 1e3;
    TurnCost { cpu_us_per_request: cpu_us / f64::from(served), memory_kb: after.memory_kb }
}

/// Sends requests from all clients in parallel and returns how many were served. The clients are numbered from `first_client`, so
/// that request ids of different calls do not collide.
fn send_from_all_clients(gatekeeper: SocketAddr, first_client: u32, requests_per_client: u32) -> u32 {
    let send = move |number| Client::connect(gatekeeper, number).send_requests(requests_per_client);
    let clients: Vec<_> =
        (first_client..first_client + CLIENTS).map(|number| thread::spawn(move || send(number))).collect();
    clients.into_iter().map(|client| client.join().expect("a client thread panicked")).sum()
}
