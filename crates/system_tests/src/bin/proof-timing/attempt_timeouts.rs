//! Measures when attempts time out. The only backend never responds, and a request has one attempt, so the request ends when the
//! attempt times out.

use crate::backend::ServiceTime;
use crate::client::{Client, TOO_MANY_REQUESTS};
use crate::settings::IdempotentClass;
use crate::site::{RunningGatekeeper, TestSite};
use std::time::{Duration, Instant};

const ATTEMPT_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(150), Duration::from_millis(300), Duration::from_millis(700)];
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(800);
const DEADLINE: Duration = Duration::from_millis(2_500);
/// Number of requests for each attempt timeout.
const REQUESTS: usize = 5;

/// Returns the maximum difference between the timeout of an attempt and its measured duration.
pub(crate) fn max_deviation(site: &TestSite<'_>) -> Duration {
    site.list_backends(11, 1);
    site.set_service_times(|_| ServiceTime::Never);
    let deviations = ATTEMPT_TIMEOUTS.into_iter().flat_map(|timeout| {
        let gatekeeper = start_gatekeeper(site, timeout);
        let durations: Vec<Duration> =
            (0..REQUESTS).filter_map(|_| attempt_duration(site, &gatekeeper)).collect();
        durations.into_iter().map(move |duration| duration.abs_diff(timeout))
    });
    deviations.max().unwrap_or_default()
}

fn start_gatekeeper(site: &TestSite<'_>, attempt_timeout: Duration) -> RunningGatekeeper {
    let further_settings = format!("attempts = 1\nattempt_ms = {}", attempt_timeout.as_millis());
    let class =
        IdempotentClass { latency_objective: LATENCY_OBJECTIVE, deadline: DEADLINE, further_settings };
    site.start_gatekeeper(&class.to_toml())
}

/// Sends a request and returns the duration of its attempt, or `None` if the gatekeeper rejected it without an attempt.
fn attempt_duration(site: &TestSite<'_>, gatekeeper: &RunningGatekeeper) -> Option<Duration> {
    let attempts_before = site.attempts();
    let sent_at = Instant::now();
    let status = Client::connect(gatekeeper.address).send_request();
    let duration = sent_at.elapsed();
    let was_attempted = site.attempts() > attempts_before;
    assert!(
        !was_attempted || status >= TOO_MANY_REQUESTS,
        "status {status} though the backend never responds"
    );
    was_attempted.then_some(duration)
}
