//! The fleet's clock in simulated fleets of gatekeepers that share one quota counter.

use super::stamp::{TICK_MICROS, WRAP_PERIOD_TICKS};
use super::*;

const SECOND: Micros = 1_000_000;
const STEP: Micros = 1_000;
/// Start time of each simulation, far from zero, so that a clock can be hours behind.
const START: Timestamp = Timestamp::from_micros(1_790_000_000 * SECOND);
const HOUR: i64 = 3_600 * SECOND as i64;

/// A simulated quota counter, which holds only the clock count. The clock count expires after [`CLOCK_COUNT_TTL`].
#[derive(Default)]
struct Counter {
    total: f64,
    expires_at: Timestamp,
    /// Number of calls since the start of the simulation.
    call_count: u64,
    /// The outcome of each call; `None` if calls succeed.
    outcome: Option<Outcome>,
}

impl Counter {
    fn add(&mut self, now: Timestamp, amount: f64) -> (Outcome, f64) {
        self.call_count += 1;
        match self.outcome {
            Some(outcome) if outcome.never_ran() => return (outcome, 0.0),
            _ => {}
        }
        if now >= self.expires_at {
            (self.total, self.expires_at) = (0.0, now + CLOCK_COUNT_TTL);
        }
        self.total += amount;
        (self.outcome.unwrap_or(Outcome::Ok), self.total)
    }
}

struct Member {
    clock: FleetClock,
    /// Microseconds by which the member's wall clock was ahead when the member started.
    ahead_micros: i64,
    reply: Option<Reply>,
}

impl Member {
    /// The estimated offset in microseconds.
    fn offset(&self) -> i64 {
        self.clock.offset().as_micros()
    }

    fn is_timekeeper(&self) -> bool {
        self.clock.election.is_timekeeper()
    }
}

/// The end of a counter call that its caller has not received yet.
struct Reply {
    /// Time at which the caller receives the reply, on the caller's clock.
    arrives_at: Timestamp,
    outcome: Outcome,
    total: f64,
}

struct Fleet {
    /// Number of gatekeepers that each member's settings state.
    gatekeeper_count: u32,
    now: Timestamp,
    counter: Counter,
    members: Vec<Member>,
    random: fastrand::Rng,
}

impl Fleet {
    fn new() -> Self {
        Self {
            gatekeeper_count: 4,
            now: START,
            counter: Counter::default(),
            members: Vec::new(),
            random: fastrand::Rng::with_seed(3),
        }
    }

    /// Starts a member whose wall clock is `ahead_micros` microseconds ahead.
    fn start(&mut self, ahead_micros: i64) -> usize {
        let seed = self.members.len() as u64;
        let clock = FleetClock::new(self.gatekeeper_count, seed, local_time(self.now, ahead_micros));
        self.members.push(Member { clock, ahead_micros, reply: None });
        self.members.len() - 1
    }

    /// Starts `count` members on correct clocks.
    fn start_on_correct_clocks(&mut self, count: usize) {
        for _ in 0..count {
            self.start(0);
        }
    }

    /// Runs the fleet in steps of 1 ms. A call takes 1 to 4 ms.
    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            for member in &mut self.members {
                let now = local_time(self.now, member.ahead_micros);
                if let Some(reply) = member.reply.take_if(|reply| now >= reply.arrives_at) {
                    member.clock.on_call_ended(now, reply.outcome, reply.total);
                }
                if let Some(amount) = member.clock.start_call(now) {
                    let (outcome, total) = self.counter.add(self.now, amount);
                    let arrives_at = now + STEP * self.random.u64(1..5);
                    member.reply = Some(Reply { arrives_at, outcome, total });
                }
            }
            self.now += STEP;
        }
    }

    /// The largest difference between two members' estimates of the fleet's time.
    fn estimate_spread(&self) -> i64 {
        let times = || self.members.iter().map(|member| member.ahead_micros - member.offset());
        times().max().unwrap_or(0) - times().min().unwrap_or(0)
    }
}

fn local_time(now: Timestamp, ahead_micros: i64) -> Timestamp {
    let local = now.as_micros().checked_add_signed(ahead_micros);
    Timestamp::from_micros(local.expect("times are far from zero"))
}

/// Maximum difference between two members' estimates of the fleet's time.
const MAX_ESTIMATE_SPREAD: i64 = 2 * SECOND as i64;

#[test]
fn correct_clocks_get_no_offset() {
    let mut fleet = Fleet::new();
    for ahead_micros in [0, 3_000, -20_000, 150_000] {
        fleet.start(ahead_micros);
    }
    fleet.run(300 * SECOND);
    for member in &fleet.members {
        assert_eq!(member.offset(), 0, "with a clock {} us ahead", member.ahead_micros);
    }
}

#[test]
fn a_process_with_a_wrong_clock_learns_its_offset_within_two_seconds() {
    for ahead_micros in [HOUR, -HOUR, 5 * SECOND as i64, -5 * SECOND as i64, 12 * HOUR, -12 * HOUR] {
        let mut fleet = Fleet::new();
        fleet.start_on_correct_clocks(3);
        fleet.run(20 * SECOND);
        fleet.start(ahead_micros);
        fleet.run(2 * SECOND);
        assert!(
            fleet.estimate_spread() <= MAX_ESTIMATE_SPREAD,
            "clock {ahead_micros} us ahead: estimates {} us apart",
            fleet.estimate_spread()
        );
        fleet.run(200 * SECOND);
        assert!(
            fleet.estimate_spread() <= MAX_ESTIMATE_SPREAD,
            "clock {ahead_micros} us ahead: estimates {} us apart later",
            fleet.estimate_spread()
        );
    }
}

#[test]
fn a_large_offset_is_known_after_the_first_reply() {
    let mut fleet = Fleet::new();
    fleet.start(0);
    fleet.run(10 * SECOND);
    fleet.start(HOUR);
    fleet.run(10 * STEP);
    assert!(fleet.estimate_spread() <= MAX_ESTIMATE_SPREAD);
}

#[test]
fn members_that_start_together_agree_even_if_their_clocks_are_wrong() {
    for offsets in [[HOUR, 0, 0, 0], [HOUR, HOUR, 0, 0], [-HOUR, HOUR, 0, 5_000_000], [HOUR; 4]] {
        let mut fleet = Fleet::new();
        for ahead_micros in offsets {
            fleet.start(ahead_micros);
        }
        fleet.run(5 * SECOND);
        assert!(
            fleet.estimate_spread() <= MAX_ESTIMATE_SPREAD,
            "clocks {offsets:?} us ahead: estimates {} us apart",
            fleet.estimate_spread()
        );
        fleet.run(120 * SECOND);
        assert!(
            fleet.estimate_spread() <= MAX_ESTIMATE_SPREAD,
            "clocks {offsets:?} us ahead: estimates {} us apart later",
            fleet.estimate_spread()
        );
    }
}

#[test]
fn a_follower_takes_over_when_the_timekeeper_dies() {
    let mut fleet = Fleet::new();
    fleet.start_on_correct_clocks(4);
    fleet.run(10 * SECOND);
    assert_eq!(fleet.members.iter().filter(|member| member.is_timekeeper()).count(), 1);
    fleet.members.retain(|member| !member.is_timekeeper());
    fleet.run(60 * SECOND);
    assert_eq!(fleet.members.iter().filter(|member| member.is_timekeeper()).count(), 1);
    assert!(fleet.members.iter().all(|member| member.offset() == 0), "a stale stamp changes no offset");
    fleet.start(-HOUR);
    fleet.run(2 * SECOND);
    assert!(fleet.estimate_spread() <= MAX_ESTIMATE_SPREAD);
}

#[test]
fn a_failing_counter_changes_no_offset_and_is_called_again() {
    for outcome in
        [Outcome::Rejected, Outcome::ConnectFailed, Outcome::Timeout, Outcome::Reset, Outcome::Error]
    {
        let mut fleet = Fleet::new();
        fleet.start_on_correct_clocks(3);
        fleet.run(10 * SECOND);
        fleet.counter.outcome = Some(outcome);
        fleet.start(HOUR);
        fleet.run(15 * SECOND);
        fleet.counter.outcome = None;
        fleet.run(6 * SECOND);
        assert!(
            fleet.estimate_spread() <= MAX_ESTIMATE_SPREAD,
            "calls end with {outcome:?}: estimates {} us apart",
            fleet.estimate_spread()
        );
        let mut on_correct_clocks = fleet.members.iter().filter(|member| member.ahead_micros == 0);
        assert!(on_correct_clocks.all(|member| member.offset() == 0), "calls end with {outcome:?}");
    }
}

#[test]
fn a_stamp_that_the_counter_lost_is_placed_again() {
    let mut fleet = Fleet::new();
    fleet.start_on_correct_clocks(3);
    fleet.run(10 * SECOND);
    fleet.counter.expires_at = Timestamp::ZERO;
    fleet.run(2 * SECOND);
    assert_eq!(Stamp::decode(fleet.counter.total).placed_count, 1);
    fleet.start(HOUR);
    fleet.run(SECOND);
    assert!(fleet.estimate_spread() <= MAX_ESTIMATE_SPREAD);
}

#[test]
fn the_wrap_around_of_the_stamp_changes_no_offset() {
    let period = WRAP_PERIOD_TICKS as u64 * TICK_MICROS;
    let mut fleet = Fleet::new();
    fleet.now = Timestamp::from_micros((START.as_micros() / period + 1) * period - 5 * SECOND);
    fleet.start_on_correct_clocks(3);
    fleet.run(4 * SECOND);
    fleet.start(HOUR);
    fleet.run(60 * SECOND);
    assert!(fleet.estimate_spread() <= MAX_ESTIMATE_SPREAD);
    assert!(fleet.members[..3].iter().all(|member| member.offset() == 0));
}

#[test]
fn a_large_fleet_makes_few_calls() {
    let mut fleet = Fleet::new();
    fleet.gatekeeper_count = 300;
    fleet.start_on_correct_clocks(300);
    fleet.run(30 * SECOND);
    let calls_before = fleet.counter.call_count;
    fleet.run(60 * SECOND);
    let calls = fleet.counter.call_count - calls_before;
    assert!(calls < 60 * 20, "300 gatekeepers make {calls} calls in a minute");
    assert!(fleet.members.iter().all(|member| member.offset() == 0));
}

/// Guards against a burst of counter calls after a mass restart: all restarted processes read a stale stamp, tried to take over
/// and rolled back after the conflict.
#[test]
fn a_large_fleet_makes_few_calls_after_a_mass_restart() {
    let mut fleet = Fleet::new();
    fleet.gatekeeper_count = 300;
    fleet.start_on_correct_clocks(300);
    fleet.run(30 * SECOND);
    // The sort puts the timekeeper last, so that the timekeeper is among the removed members.
    fleet.members.sort_by_key(Member::is_timekeeper);
    fleet.members.truncate(90);
    fleet.run(5 * SECOND);
    let calls_before = fleet.counter.call_count;
    fleet.start_on_correct_clocks(210);
    fleet.run(10 * SECOND);
    let calls = fleet.counter.call_count - calls_before;
    assert!(calls < 600, "{calls} calls after 210 gatekeepers start together");
    assert!(fleet.members.iter().all(|member| member.offset() == 0));
}

#[test]
fn totals_without_a_valid_stamp_are_ignored() {
    for total in [f64::NAN, f64::INFINITY, -1.0, 2_345_678.0, 9.9e9, 1e300] {
        let mut clock = FleetClock::new(4, 1, START);
        assert_eq!(clock.start_call(START), Some(0.0));
        clock.on_call_ended(START + STEP, Outcome::Ok, total);
        assert_eq!(clock.offset(), ClockOffset::default(), "total {total}");
    }
}
