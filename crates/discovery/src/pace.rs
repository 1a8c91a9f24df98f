//! How soon a watch that ended is asked for again: decided here without a clock or a socket, so that a test can drive a
//! hundred of them in simulated time.
//!
//! All gatekeepers lose their watches at the same moment when the agents or what stands behind them falls over, and all
//! start together after a release. Discovery serves calls in turn; calls that wait too long fail, and if those were made
//! anew at once, the turn of each would always come too late. So each failure in a row doubles the pause, and chance
//! spreads all pauses. A lone watch that ends is back within [`FIRST`].
//!
//! Where the agent is told all unasked, what it has counts as told 6 s after it had it and could be reached, whatever calls
//! failed meanwhile. A watch that falls silent takes [`SILENCE`] to be noticed; then come a pause, a call that fails for want of an
//! answer, another pause, and the call that tells: 3 + 0.57 + 1 + 0.57 s at the worst, and two looks at the clock.
//!
//! [`SILENCE`]: crate::SILENCE

use std::time::Duration;

/// The longest pause after a watch that worked: what one gatekeeper alone waits at most.
pub const FIRST: Duration = Duration::from_millis(200);
/// The mean pause after a call that failed, before it doubles: calls fail after they have waited for seconds, so what is
/// in front of the next one takes seconds to clear as well.
pub const FAILED: Duration = Duration::from_secs(3);
/// The longest mean pause then.
pub const LONGEST: Duration = Duration::from_secs(6);
/// The longest mean pause where the agent is told all unasked: its calls cost nobody else anything.
pub const LONGEST_TOLD: Duration = Duration::from_millis(300);
/// An agent that is told all unasked answers at once with what it has. One that does not is away, and is called anew.
pub const ANSWER: Duration = Duration::from_secs(1);
/// A watch that ends sooner than this after it was asked for was never really given: an agent answers at once with what
/// it has, and breaks off when its own call fails.
pub const GIVEN: Duration = Duration::from_secs(5);

/// The pauses of one gatekeeper.
#[derive(Debug)]
pub struct Pace {
    rng: fastrand::Rng,
    failures: u32,
    failed: Duration,
    longest: Duration,
    answer: Duration,
}

impl Pace {
    /// The pauses that follow from this seed. `asks` says that the list must be asked for, at one service that all
    /// gatekeepers share.
    pub fn new(seed: u64, asks: bool) -> Self {
        // One that must ask may answer when its own call has had its turn.
        let (failed, longest, answer) =
            if asks { (FAILED, LONGEST, crate::SILENCE) } else { (FIRST, LONGEST_TOLD, ANSWER) };
        Self { rng: fastrand::Rng::with_seed(seed), failures: 0, failed, longest, answer }
    }

    /// How long the agent may take to begin its answer.
    pub fn answer(&self) -> Duration {
        self.answer
    }

    /// How long to wait after a watch that lasted for `lived` from when it was asked for.
    pub fn pause(&mut self, lived: Duration) -> Duration {
        if lived >= GIVEN {
            self.failures = 0;
            return FIRST.mul_f64(self.rng.f64());
        }
        let mean = self.failed.saturating_mul(1 << self.failures.min(16)).min(self.longest);
        self.failures = self.failures.saturating_add(1);
        mean.mul_f64(0.1 + 1.8 * self.rng.f64())
    }
}

#[cfg(test)]
mod tests;
