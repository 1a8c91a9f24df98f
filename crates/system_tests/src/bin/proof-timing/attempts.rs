//! When attempts end: one backend never answers, so that a request ends when its only attempt does.

use crate::backend::Latency;
use crate::client::{Client, TOO_MANY_REQUESTS};
use crate::settings::idempotent;
use crate::site::TestSite;
use std::time::Instant;

const ATTEMPT_TIMES_MS: [u32; 3] = [150, 300, 700];
const REQUESTS: usize = 5;

/// By how much attempts miss their time at most, ms.
pub(crate) fn measure(site: &TestSite<'_>) -> f64 {
    site.list_backends(11, 1);
    site.set_latencies(|_| Latency::Never);
    let mut worst = 0.0f64;
    for attempt_ms in ATTEMPT_TIMES_MS {
        let class = idempotent(800, 2_500, &format!("attempts = 1\nattempt_ms = {attempt_ms}"));
        let gatekeeper = site.start_gatekeeper(&class);
        for _ in 0..REQUESTS {
            let (begin, before) = (Instant::now(), site.backend_requests());
            let status = Client::connect(gatekeeper.address).send_request();
            // One that was rejected at once was no attempt.
            if site.backend_requests() > before {
                assert!(status >= TOO_MANY_REQUESTS, "{status}");
                let took_ms = begin.elapsed().as_secs_f64() * 1e3;
                worst = worst.max((took_ms - f64::from(attempt_ms)).abs());
            }
        }
    }
    worst
}
