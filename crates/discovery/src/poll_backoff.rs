//! Exponential backoff with jitter between requests of a watch. The backoff uses no clock and no socket, so that a test can
//! simulate a hundred gatekeepers.
//!
//! All gatekeepers lose their watches at the same moment when the agents or the discovery service fail, and all start together
//! after a release. The discovery service serves requests in order of arrival. Requests that wait too long time out. If timed-out
//! requests were retried at once, the queue would stay so long that every request timed out (a retry storm). Therefore each
//! consecutive failure doubles the backoff, and jitter spreads the requests. A single watch that ends after it worked is
//! requested again within [`MAX_BACKOFF_AFTER_SUCCESS`].
//!
//! With an agent that is notified of changes, a gatekeeper must receive a list within 6 s after the agent has it and is
//! reachable, regardless of the requests that failed before. In the worst case a silent watch is detected after
//! [`SILENCE_TIMEOUT`], followed by a backoff, a request that times out, another backoff, and the request that succeeds:
//! 3 + 0.57 + 1 + 0.57 s and two clock ticks.

use std::time::Duration;

/// Maximum time between two lines of a watch. The agent writes at least an empty line (a heartbeat) every 2 s, so a watch
/// that receives no line for this long is broken. Missed changes must be received within 6 s after the last line, even if one
/// request fails in between.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum backoff after the end of a watch that lasted for at least [`MIN_AGE_OF_WORKING_WATCH`].
const MAX_BACKOFF_AFTER_SUCCESS: Duration = Duration::from_millis(200);
/// Mean backoff after the first failed request to an agent that polls the discovery service. The agent's own request times out
/// after seconds in the service's queue, and the requests ahead of the agent's next request take seconds as well.
const INITIAL_MEAN_BACKOFF_POLLING_AGENT: Duration = Duration::from_secs(3);
/// Upper bound of the mean backoff between requests to an agent that polls the discovery service.
const MAX_MEAN_BACKOFF_POLLING_AGENT: Duration = Duration::from_secs(6);
/// Upper bound of the mean backoff between requests to an agent that is notified of changes. The bound is low, because requests
/// to such an agent put no load on a shared service.
const MAX_MEAN_BACKOFF_NOTIFIED_AGENT: Duration = Duration::from_millis(300);
/// Timeout for the response of an agent that is notified of changes. Unless the agent is down, it responds at once with its
/// present list.
const RESPONSE_TIMEOUT_NOTIFIED_AGENT: Duration = Duration::from_secs(1);
/// A watch that ends sooner than this after its request counts as failed: the agent responds at once with its present list, and
/// closes the connection when its own request to the discovery service fails.
const MIN_AGE_OF_WORKING_WATCH: Duration = Duration::from_secs(5);
/// Maximum number of times that the mean backoff is doubled, so that the shift cannot overflow. The mean backoff reaches its
/// upper bound after far fewer doublings.
const MAX_DOUBLINGS: u32 = 16;
/// Smallest multiple of the mean backoff that the jitter chooses. The backoff is uniformly distributed between 0.1 and 1.9 times
/// the mean.
const MIN_JITTER_FACTOR: f64 = 0.1;
/// Difference between the largest and the smallest multiple of the mean backoff that the jitter chooses.
const JITTER_FACTOR_RANGE: f64 = 1.8;

/// How the agent learns of changes of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentMode {
    /// The agent polls a discovery service that all gatekeepers share.
    Polling,
    /// The agent is notified of each change.
    Notified,
}

/// Backoff between the requests of one gatekeeper's watch.
#[derive(Debug)]
pub struct PollBackoff {
    random: fastrand::Rng,
    consecutive_failures: u32,
    initial_mean_backoff: Duration,
    max_mean_backoff: Duration,
    response_timeout: Duration,
}

impl PollBackoff {
    /// Creates the backoff for an agent of this mode. `seed` determines the jitter.
    pub fn new(seed: u64, mode: AgentMode) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        match mode {
            AgentMode::Polling => Self {
                random,
                consecutive_failures: 0,
                initial_mean_backoff: INITIAL_MEAN_BACKOFF_POLLING_AGENT,
                max_mean_backoff: MAX_MEAN_BACKOFF_POLLING_AGENT,
                // The agent responds once the discovery service has served its own request.
                response_timeout: SILENCE_TIMEOUT,
            },
            AgentMode::Notified => Self {
                random,
                consecutive_failures: 0,
                initial_mean_backoff: MAX_BACKOFF_AFTER_SUCCESS,
                max_mean_backoff: MAX_MEAN_BACKOFF_NOTIFIED_AGENT,
                response_timeout: RESPONSE_TIMEOUT_NOTIFIED_AGENT,
            },
        }
    }

    /// Timeout for the head of the agent's response, counted from the established connection.
    pub fn response_timeout(&self) -> Duration {
        self.response_timeout
    }

    /// Returns the backoff after the end of a watch. `age` is the time from the request of the watch to its end.
    pub fn next_backoff(&mut self, age: Duration) -> Duration {
        if age >= MIN_AGE_OF_WORKING_WATCH {
            self.consecutive_failures = 0;
            return MAX_BACKOFF_AFTER_SUCCESS.mul_f64(self.random.f64());
        }
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let mean = self.initial_mean_backoff.saturating_mul(1 << doublings).min(self.max_mean_backoff);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        mean.mul_f64(MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * self.random.f64())
    }
}

#[cfg(test)]
mod tests;
