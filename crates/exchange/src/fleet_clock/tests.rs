//! Fleets of estimates in simulated time, which share one count.

use super::*;

const SECOND: Micros = 1_000_000;
const STEP: Micros = 1_000;
/// A time far from zero, as on a real wall clock.
const START: Timestamp = Timestamp::from_micros(1_790_000_000 * SECOND);
const HOUR: i64 = 3_600 * SECOND as i64;

/// The count of the stamp, which expires.
#[derive(Default)]
struct Counter {
    total: f64,
    expires_at: Timestamp,
    /// Calls in all.
    calls: u64,
    /// How calls end now.
    outcome: Option<Outcome>,
}

impl Counter {
    fn add(&mut self, now: Timestamp, amount: f64) -> (Outcome, f64) {
        self.calls += 1;
        match self.outcome {
            Some(outcome) if outcome.never_ran() => return (outcome, 0.0),
            _ => {}
        }
        if now >= self.expires_at {
            (self.total, self.expires_at) = (0.0, now + STAMP_LIFE);
        }
        self.total += amount;
        (self.outcome.unwrap_or(Outcome::Ok), self.total)
    }
}

struct Member {
    clock: FleetClock,
    /// Microseconds that its wall clock was ahead when it started.
    ahead: i64,
    reply: Option<(Timestamp, Outcome, f64)>,
}

struct Fleet {
    /// Gatekeepers by the settings.
    size: u32,
    now: Timestamp,
    counter: Counter,
    members: Vec<Member>,
    random: fastrand::Rng,
}

impl Fleet {
    fn new() -> Self {
        Self {
            size: 4,
            now: START,
            counter: Counter::default(),
            members: Vec::new(),
            random: fastrand::Rng::with_seed(3),
        }
    }

    /// A member starts with its wall clock so far ahead.
    fn start(&mut self, ahead: i64) -> usize {
        let seed = self.members.len() as u64;
        let clock = FleetClock::new(self.size, seed, local(self.now, ahead));
        self.members.push(Member { clock, ahead, reply: None });
        self.members.len() - 1
    }

    /// So many members start on clocks that are right.
    fn start_many(&mut self, count: usize) {
        for _ in 0..count {
            self.start(0);
        }
    }

    /// A call takes 1 to 5 ms.
    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            for member in &mut self.members {
                let now = local(self.now, member.ahead);
                if let Some((at, outcome, total)) = member.reply
                    && now >= at
                {
                    member.reply = None;
                    member.clock.call_ended(now, outcome, total);
                }
                if let Some(amount) = member.clock.start_call(now) {
                    let (outcome, total) = self.counter.add(self.now, amount);
                    member.reply = Some((now + STEP * self.random.u64(1..5), outcome, total));
                }
            }
            self.now += STEP;
        }
    }

    /// How far apart the members' times of the fleet are at most.
    fn spread(&self) -> i64 {
        let times = || self.members.iter().map(|member| member.ahead - member.clock.offset());
        times().max().unwrap_or(0) - times().min().unwrap_or(0)
    }
}

fn local(now: Timestamp, ahead: i64) -> Timestamp {
    let local = now.as_micros().checked_add_signed(ahead);
    Timestamp::from_micros(local.expect("times are far from zero"))
}

/// What a difference between two members may be: the stamp is advanced once a second.
const EXACT: i64 = 2 * SECOND as i64;

#[test]
fn clocks_that_are_right_are_not_changed() {
    let mut fleet = Fleet::new();
    for ahead in [0, 3_000, -20_000, 150_000] {
        fleet.start(ahead);
    }
    fleet.run(300 * SECOND);
    for member in &fleet.members {
        assert_eq!(member.clock.offset(), 0, "with a clock {} us ahead", member.ahead);
    }
}

#[test]
fn a_process_started_on_a_stepped_clock_learns_its_offset_within_two_seconds() {
    for ahead in [HOUR, -HOUR, 5 * SECOND as i64, -5 * SECOND as i64, 12 * HOUR, -12 * HOUR] {
        let mut fleet = Fleet::new();
        fleet.start_many(3);
        fleet.run(20 * SECOND);
        fleet.start(ahead);
        fleet.run(2 * SECOND);
        assert!(fleet.spread() <= EXACT, "{ahead} us ahead: {} us apart", fleet.spread());
        fleet.run(200 * SECOND);
        assert!(fleet.spread() <= EXACT, "{ahead} us ahead: {} us apart later", fleet.spread());
    }
}

#[test]
fn a_large_step_is_known_with_the_first_reply() {
    let mut fleet = Fleet::new();
    fleet.start(0);
    fleet.run(10 * SECOND);
    fleet.start(HOUR);
    fleet.run(10 * STEP);
    assert!(fleet.spread() <= EXACT);
}

#[test]
fn members_that_start_at_once_agree_whichever_of_them_are_stepped() {
    for offsets in [[HOUR, 0, 0, 0], [HOUR, HOUR, 0, 0], [-HOUR, HOUR, 0, 5_000_000], [HOUR; 4]] {
        let mut fleet = Fleet::new();
        for ahead in offsets {
            fleet.start(ahead);
        }
        fleet.run(5 * SECOND);
        assert!(fleet.spread() <= EXACT, "{offsets:?}: {} us apart", fleet.spread());
        fleet.run(120 * SECOND);
        assert!(fleet.spread() <= EXACT, "{offsets:?}: {} us apart later", fleet.spread());
    }
}

#[test]
fn another_one_goes_on_when_the_timekeeper_dies() {
    let mut fleet = Fleet::new();
    fleet.start_many(4);
    fleet.run(10 * SECOND);
    let is_timekeeper = |member: &Member| matches!(member.clock.role, Role::Timekeeper { .. });
    assert_eq!(fleet.members.iter().filter(|member| is_timekeeper(member)).count(), 1);
    fleet.members.retain(|member| !is_timekeeper(member));
    fleet.run(60 * SECOND);
    assert_eq!(fleet.members.iter().filter(|member| is_timekeeper(member)).count(), 1);
    assert!(
        fleet.members.iter().all(|member| member.clock.offset() == 0),
        "a stamp that stood still is no clock"
    );
    fleet.start(-HOUR);
    fleet.run(2 * SECOND);
    assert!(fleet.spread() <= EXACT);
}

#[test]
fn a_silent_or_failing_counter_changes_nothing_and_is_asked_again() {
    for outcome in
        [Outcome::Rejected, Outcome::ConnectFailed, Outcome::Timeout, Outcome::Reset, Outcome::Error]
    {
        let mut fleet = Fleet::new();
        fleet.start_many(3);
        fleet.run(10 * SECOND);
        fleet.counter.outcome = Some(outcome);
        fleet.start(HOUR);
        fleet.run(15 * SECOND);
        fleet.counter.outcome = None;
        fleet.run(6 * SECOND);
        assert!(fleet.spread() <= EXACT, "{outcome:?}: {} us apart", fleet.spread());
        let right = fleet.members.iter().filter(|member| member.ahead == 0);
        assert!(right.into_iter().all(|member| member.clock.offset() == 0), "{outcome:?}");
    }
}

#[test]
fn a_counter_that_lost_the_stamp_gets_it_again() {
    let mut fleet = Fleet::new();
    fleet.start_many(3);
    fleet.run(10 * SECOND);
    fleet.counter.expires_at = Timestamp::ZERO;
    fleet.run(2 * SECOND);
    assert_eq!(Stamp::of(fleet.counter.total).placed, 1);
    fleet.start(HOUR);
    fleet.run(SECOND);
    assert!(fleet.spread() <= EXACT);
}

/// The stamp repeats: the times around the end of its period are no different from others.
#[test]
fn the_end_of_a_period_of_the_stamp_is_no_step() {
    let period = PERIOD as u64 * UNIT;
    let mut fleet = Fleet::new();
    fleet.now = Timestamp::from_micros((START.as_micros() / period + 1) * period - 5 * SECOND);
    fleet.start_many(3);
    fleet.run(4 * SECOND);
    fleet.start(HOUR);
    fleet.run(60 * SECOND);
    assert!(fleet.spread() <= EXACT);
    assert!(fleet.members[..3].iter().all(|member| member.clock.offset() == 0));
}

#[test]
fn a_fleet_makes_few_calls() {
    let mut fleet = Fleet::new();
    fleet.size = 300;
    fleet.start_many(300);
    fleet.run(30 * SECOND);
    let before = fleet.counter.calls;
    fleet.run(60 * SECOND);
    let calls = fleet.counter.calls - before;
    assert!(calls < 60 * 20, "{calls} calls of 300 gatekeepers in a minute");
    assert!(fleet.members.iter().all(|member| member.clock.offset() == 0));
}

/// Guards the counter after a mass restart: all that had started read a stamp that stood still, each wanted to advance it, and each
/// took back what it had added.
#[test]
fn a_fleet_of_which_most_are_killed_at_once_makes_few_calls() {
    let mut fleet = Fleet::new();
    fleet.size = 300;
    fleet.start_many(300);
    fleet.run(30 * SECOND);
    // The timekeeper is among those that are killed.
    let is_timekeeper = |member: &Member| matches!(member.clock.role, Role::Timekeeper { .. });
    fleet.members.sort_by_key(is_timekeeper);
    fleet.members.truncate(90);
    fleet.run(5 * SECOND);
    let before = fleet.counter.calls;
    fleet.start_many(210);
    fleet.run(10 * SECOND);
    let calls = fleet.counter.calls - before;
    assert!(calls < 600, "{calls} calls of 210 gatekeepers that start at once");
    assert!(fleet.members.iter().all(|member| member.clock.offset() == 0));
}

#[test]
fn totals_that_are_no_stamps_are_ignored() {
    for total in [f64::NAN, f64::INFINITY, -1.0, 2_345_678.0, 9.9e9, 1e300] {
        let mut clock = FleetClock::new(4, 1, START);
        assert_eq!(clock.start_call(START), Some(0.0));
        clock.call_ended(START + STEP, Outcome::Ok, total);
        assert_eq!(clock.offset(), 0, "{total}");
    }
}
