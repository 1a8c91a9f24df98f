//! How soon a watch that ended is requested again. No clock and no socket is used here, so that a test can run a hundred of them in
//! simulated time.
//!
//! All gatekeepers lose their watches at the same moment when the agents, or the service behind them, fail, and all start together
//! after a release. The discovery service serves requests in turn. Requests that wait too long fail, and if those were repeated at
//! once, each would always be served too late. So each failure in a row doubles the pause, and random jitter spreads all
//! pauses. A lone watch that ends is back within [`MAX_PAUSE_AFTER_SUCCESS`].
//!
//! Where the agent is notified of all changes, what it has counts as known 6 s after it had it and could be reached, whatever
//! requests failed meanwhile. A watch that falls silent takes [`SILENCE_TIMEOUT`] to be noticed; then come a pause, a request that
//! fails for want of a response, another pause, and the request that succeeds: 3 + 0.57 + 1 + 0.57 s at the worst, and two ticks of
//! the clock.

use std::time::Duration;

/// The agent writes a line every 2 s, be it an empty one: a watch that got none for this long is broken. Endpoints that it misses
/// count as known 6 s after it fell silent, and before that one more request may fail ([`PollBackoff`] has the sum).
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest pause after a watch that worked.
const MAX_PAUSE_AFTER_SUCCESS: Duration = Duration::from_millis(200);
/// The mean pause after the first failure where the agent must poll: requests fail after they have waited for seconds, so what is
/// queued before the next one takes seconds to clear as well.
const POLLING_FIRST_PAUSE: Duration = Duration::from_secs(3);
/// The longest mean pause where the agent must poll.
const POLLING_MAX_PAUSE: Duration = Duration::from_secs(6);
/// The longest mean pause where the agent is notified: its requests cost nobody else anything.
const NOTIFIED_MAX_PAUSE: Duration = Duration::from_millis(300);
/// An agent that is notified responds at once with what it has. One that does not is down, and is requested anew.
const NOTIFIED_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// A watch that ends sooner than this after its request never worked: an agent responds at once with what it has, and closes the
/// connection when its own request fails.
const MIN_WORKING_AGE: Duration = Duration::from_secs(5);
/// Further failures in a row don't double the pause any more.
const MAX_DOUBLINGS: u32 = 16;
/// Jitter: a pause is between a tenth of the mean and nineteen tenths.
const MIN_JITTER: f64 = 0.1;
const JITTER_RANGE: f64 = 1.8;

/// The pauses of one gatekeeper.
#[derive(Debug)]
pub struct PollBackoff {
    random: fastrand::Rng,
    /// Failures in a row.
    failures: u32,
    first_pause: Duration,
    max_pause: Duration,
    response_timeout: Duration,
}

impl PollBackoff {
    /// Creates the pauses that follow from this seed.
    ///
    /// `must_poll` says that the agent polls a service that all gatekeepers share; otherwise the agent is notified of changes.
    pub fn new(seed: u64, must_poll: bool) -> Self {
        let (first_pause, max_pause, response_timeout) = if must_poll {
            // The agent may respond when its own request has had its turn.
            (POLLING_FIRST_PAUSE, POLLING_MAX_PAUSE, SILENCE_TIMEOUT)
        } else {
            (MAX_PAUSE_AFTER_SUCCESS, NOTIFIED_MAX_PAUSE, NOTIFIED_RESPONSE_TIMEOUT)
        };
        let random = fastrand::Rng::with_seed(seed);
        Self { random, failures: 0, first_pause, max_pause, response_timeout }
    }

    /// How long the agent may take to begin its response.
    pub fn response_timeout(&self) -> Duration {
        self.response_timeout
    }

    /// How long to wait after a watch that ended at this age, counted from its request.
    pub fn next_pause(&mut self, age: Duration) -> Duration {
        if age >= MIN_WORKING_AGE {
            self.failures = 0;
            return MAX_PAUSE_AFTER_SUCCESS.mul_f64(self.random.f64());
        }
        let doubled = self.first_pause.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        let mean = doubled.min(self.max_pause);
        self.failures = self.failures.saturating_add(1);
        mean.mul_f64(MIN_JITTER + JITTER_RANGE * self.random.f64())
    }
}

#[cfg(test)]
mod tests;
