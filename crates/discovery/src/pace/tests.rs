//! The pauses of many gatekeepers in simulated time.

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

/// What the agent has must be known 6 s after it had it and could be reached, though a watch has just fallen silent and a call
/// gets no answer. The looks at the clock are 0.25 s apart.
#[test]
fn a_silent_watch_and_a_lost_call_leave_time_to_be_told() {
    for seed in 0..100 {
        let mut pace = Pace::new(seed, false);
        for failures in 0..20 {
            let look = Duration::from_millis(250);
            let answer = pace.answer();
            let spent = crate::SILENCE
                + look
                + pace.pause(Duration::ZERO)
                + answer
                + look
                + pace.pause(Duration::ZERO);
            assert!(
                spent < Duration::from_millis(5_900),
                "seed {seed}, after {failures} failures: {spent:?}"
            );
        }
    }
}
