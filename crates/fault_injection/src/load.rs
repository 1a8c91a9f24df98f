//! A steady load of several tenants. The clients follow each request to its end and record it.

mod client;

pub use client::{Client, ClientSettings};

use crate::history::Outcome;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A tenant as clients send it.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Name of the tenant in the header of HTTP requests and in histories.
    pub name: &'static str,
    /// Id of the tenant in RESP2 commands to gatekeepers of the platform.
    pub id: u64,
    /// Name of the tenant's plan.
    pub plan: &'static str,
    /// Mean interval between two requests of the tenant, counting the requests to all gatekeepers.
    pub request_interval: Duration,
}

const fn tenant(name: &'static str, id: u64, plan: &'static str, interval_ms: u64) -> Tenant {
    Tenant { name, id, plan, request_interval: Duration::from_millis(interval_ms) }
}

/// The tenants: three that stay within their quotas, two that far exceed them, and one whose quota is never exhausted. The
/// last one is used for requests that check whether a gatekeeper serves.
pub const TENANTS: [Tenant; 6] = [
    tenant("calm-0", 10, "basic", 120),
    tenant("calm-1", 11, "basic", 120),
    tenant("calm-2", 12, "basic", 120),
    tenant("greedy-0", 13, "standard", 12),
    tenant("greedy-1", 14, "standard", 12),
    tenant("free", 15, "free", 60),
];
/// The tenant of [`TENANTS`] whose quota is never exhausted.
pub const UNLIMITED_TENANT: Tenant = TENANTS[5];

/// Time until a client sends its next request after one that was not accepted.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the clients of one gatekeeper: a thread for each tenant, until the load is over.
pub fn start_clients(
    client: impl Fn() -> Client,
    gatekeepers: usize,
    is_over: &Arc<AtomicBool>,
    seed: u64,
) -> Vec<JoinHandle<()>> {
    let start = |(index, tenant): (usize, Tenant)| {
        let (mut client, is_over) = (client(), is_over.clone());
        let mut random = fastrand::Rng::with_seed(seed.wrapping_add(index as u64));
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let outcome = client.send_request(&tenant);
                let interval = tenant.request_interval * gatekeepers as u32;
                thread::sleep(match outcome {
                    Outcome::NotAccepted => RETRY_INTERVAL,
                    _ => interval.mul_f64(0.5 + random.f64()),
                });
            }
        })
    };
    TENANTS.into_iter().enumerate().map(start).collect()
}
