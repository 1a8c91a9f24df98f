//! How soon a watch that ended is asked for again: decided here without a clock or a socket, so that a test can drive a
//! hundred of them in simulated time.
//!
//! All gatekeepers lose their watches at the same moment when the agents or what stands behind them falls over, and all
//! start together after a release. Discovery serves calls in turn; calls that wait too long fail, and if those were made
//! anew at once, the turn of each would always come too late. So each failure in a row doubles the pause, and chance
//! spreads all pauses. A lone watch that ends is back within [`FIRST`].

use std::time::Duration;

/// The longest pause after a watch that worked: what one gatekeeper alone waits at most.
pub const FIRST: Duration = Duration::from_millis(200);
/// The mean pause after a call that failed, before it doubles: calls fail after they have waited for seconds, so what is
/// in front of the next one takes seconds to clear as well.
pub const FAILED: Duration = Duration::from_secs(3);
/// The longest mean pause then.
pub const LONGEST: Duration = Duration::from_secs(6);
/// The longest mean pause where the agent is told all unasked: its calls cost nobody else anything.
pub const LONGEST_TOLD: Duration = Duration::from_secs(1);
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
}

impl Pace {
    /// The pauses that follow from this seed. `asks` says that the list must be asked for, at one service that all
    /// gatekeepers share.
    pub fn new(seed: u64, asks: bool) -> Self {
        let (failed, longest) = if asks { (FAILED, LONGEST) } else { (FIRST, LONGEST_TOLD) };
        Self { rng: fastrand::Rng::with_seed(seed), failures: 0, failed, longest }
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
mod tests {
    use super::*;
    use std::collections::{BTreeSet, VecDeque};

    /// ms; what discovery bears, how long a call may wait, and how many may: beyond that a call is turned away at once. A call
    /// that nobody waits for any more is served all the same.
    const SERVICE: u64 = 60;
    const WAIT: u64 = 2_000;
    const LINE: usize = 90;

    /// A hundred gatekeepers whose watches end at the same moment, before a service of fixed capacity. Returns ms until the
    /// last one has its watch back, if all have within a minute, and the calls made.
    fn all_lose(seed: u64, mut pause: impl FnMut(usize, Duration) -> Duration) -> (Option<u64>, usize) {
        let mut chance = fastrand::Rng::with_seed(seed);
        let mut due: BTreeSet<(u64, usize)> =
            (0..100).map(|who| (pause(who, GIVEN).as_millis() as u64 + chance.u64(0..5), who)).collect();
        let (mut line, mut next, mut back, mut calls) = (VecDeque::new(), 0, 0, 0);
        for now in 0..60_000 {
            while let Some(&(at, who)) = due.first()
                && at <= now
            {
                due.pop_first();
                calls += 1;
                if line.len() < LINE {
                    line.push_back((now, who));
                } else {
                    due.insert((now + 1 + pause(who, Duration::ZERO).as_millis() as u64, who));
                }
            }
            if now >= next
                && let Some((since, who)) = line.pop_front()
            {
                next = now + SERVICE;
                if now - since <= WAIT {
                    back += 1;
                    if back == 100 {
                        return (Some(now), calls);
                    }
                } else {
                    // It was told so when its time was up.
                    let at = since + WAIT + pause(who, Duration::from_millis(WAIT)).as_millis() as u64;
                    due.insert((at.max(now), who));
                }
            }
        }
        (None, calls)
    }

    /// Seen with a fixed pause of 200 ms: after all watches had ended at once no call was served in time ever again.
    #[test]
    fn a_hundred_that_lose_their_watches_together_get_them_back() {
        for seed in 0..20 {
            let mut paces: Vec<Pace> = (0..100).map(|who| Pace::new(seed << 8 | who, true)).collect();
            let (back, calls) = all_lose(seed, |who, lived| paces[who].pause(lived));
            assert!(back.is_some_and(|at| at < 25_000), "seed {seed}: {back:?} ms after {calls} calls");
            assert!(calls < 400, "seed {seed}: {calls} calls");
        }
        let fixed = all_lose(1, |_, _| FIRST);
        assert_eq!(fixed.0, None, "the model no longer shows what is guarded against");
    }

    #[test]
    fn one_that_loses_a_watch_alone_asks_at_once() {
        let mut pace = Pace::new(7, true);
        for lived in [Duration::ZERO, Duration::from_secs(2)] {
            assert!(pace.pause(lived) >= FAILED / 10);
        }
        for _ in 0..100 {
            assert!(pace.pause(GIVEN) <= FIRST);
        }
    }

    #[test]
    fn pauses_stay_bounded_and_differ_by_seed() {
        let pauses = |seed| {
            let mut pace = Pace::new(seed, true);
            (0..1_000).map(|_| pace.pause(Duration::ZERO)).collect::<Vec<_>>()
        };
        assert!(pauses(1).iter().all(|p| *p <= 2 * LONGEST));
        assert_ne!(pauses(1), pauses(2));
    }
}
