//! The clients that put load on the gatekeeper.

use fault_injection::history::{Span, now_us};
use fault_injection::load::{Tenant, UNLIMITED_TENANT};
use fault_injection::site::Site;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle, sleep};
use std::time::Duration;

pub(crate) const CLIENTS: usize = 6;
/// Time from a response to the next request of a client. It keeps all clients together well below the quota of their tenant.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Clients that send requests until they are stopped.
pub(crate) struct Load {
    clients: Vec<JoinHandle<()>>,
    stop_requested: Arc<AtomicBool>,
    started_us: u64,
}

impl Load {
    pub(crate) fn start(site: &Site) -> Self {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let started_us = now_us();
        let clients = (0..CLIENTS).map(|_| start_client(site, stop_requested.clone())).collect();
        Self { clients, stop_requested, started_us }
    }

    /// Stops the clients and returns the span in which they sent requests.
    pub(crate) fn stop(self) -> Span {
        let span = Span::since(self.started_us);
        self.stop_requested.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|client| drop(client.join()));
        span
    }
}

fn start_client(site: &Site, stop_requested: Arc<AtomicBool>) -> JoinHandle<()> {
    let mut client = site.client(0);
    let tenant = Tenant { request_interval: REQUEST_INTERVAL, ..UNLIMITED_TENANT };
    thread::spawn(move || {
        while !stop_requested.load(Ordering::Relaxed) {
            client.send_request(&tenant);
            sleep(REQUEST_INTERVAL);
        }
    })
}
