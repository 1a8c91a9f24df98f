//! By how much this process's clock is off the clock that the fleet goes by: an estimate, no decision.
//!
//! Gatekeepers share a count by its name, which follows from the time. A process whose wall clock was wrong when it started would
//! count by itself. What all gatekeepers reach is the counter, so the fleet's time is kept there: one gatekeeper, the *timekeeper*,
//! holds a stamp of its time in a count of a fixed name and advances it each second. Every other one reads the stamp when it starts
//! and now and then, and is off by the difference.
//!
//! A total has seven digits. The highest counts the stamps that were placed, one for each timekeeper; the others are the time in
//! tenths of a second, which repeats each 100,000 s. So offsets are known up to half of that, 13.8 h. Who finds that two stamps
//! were placed at once takes its own back. Who finds that a stamp stands still becomes the timekeeper. A difference is as exact as
//! the stamp is recent: one of up to [`AGREEMENT`] is none.

use policy::{Micros, Outcome, Timestamp};

#[cfg(test)]
mod tests;

/// The name of the count that holds the stamp.
pub(crate) const STAMP_NAME: u64 = 0x666c_6565_745f_7473;
/// Expiry of the stamp. The timekeeper places it anew within a second.
pub(crate) const STAMP_LIFE: Micros = 60_000_000;
/// Microseconds of a unit of the stamp.
const UNIT: Micros = 100_000;
/// Units after which the stamp repeats, and what a placed stamp adds to its time.
const PERIOD: i64 = 1_000_000;
/// Units that a stamp of the same time may seem to be in the future, or old: it is advanced once a second.
const AGREEMENT: std::ops::RangeInclusive<i64> = -5..=20;
/// The age in units that a stamp has in the mean.
const MEAN_AGE: i64 = 5;
/// A stamp that stands still is gone after so many units: what is older is no stamp that stands still.
const LONGEST_STANDSTILL: i64 = 620;
/// How often the timekeeper advances the stamp.
const ADVANCE_INTERVAL: Micros = 1_000_000;
/// How often others read it, and how much longer that is for each gatekeeper, so that the fleet's calls stay few.
const READ_INTERVAL: Micros = 20_000_000;
const READ_INTERVAL_PER_GATEKEEPER: Micros = 200_000;
/// After this a stamp that is advanced has changed.
const CONFIRMATION_INTERVAL: Micros = 1_200_000;
/// Random pauses, lest all do the same at once; so many gatekeepers make them as much longer.
const GATEKEEPERS_PER_PAUSE: u64 = 50;
/// The longest pause before a stamp is placed where there is none.
const VACANCY_PAUSE: Micros = 1_000_000;
/// Who goes by a stamp that stands still advances it after so many looks: others that know the time better read it by then.
const MAX_STANDSTILLS: u32 = 30;
/// The longest pause before a stamp that seems to stand still is read again.
const DOUBT_PAUSE: Micros = 400_000;
/// The longest pause after a call that failed, or that found two stamps. Half of it at the least.
const RETRY_PAUSE: Micros = 1_000_000;

/// What a call to the counter is for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    /// To read the stamp.
    Read,
    /// To place a stamp where there is none.
    Place {
        /// The time that it tells.
        stamp: i64,
        /// What is added.
        amount: i64,
    },
    /// To advance it.
    Advance {
        /// The time that it tells then.
        stamp: i64,
        /// What is added.
        amount: i64,
    },
    /// To take back what was added beside another one.
    TakeBack,
}

/// What this process does about the stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It reads the stamp.
    Reader,
    /// It found none, and looks once more before it places one.
    Candidate,
    /// It places one.
    Placing {
        /// What the count holds without one.
        found: i64,
    },
    /// It found one that may stand still.
    Doubting {
        /// The stamp that was read.
        stamp: i64,
    },
    /// It goes by this stamp, which was another clock's, and looks whether it is advanced.
    Adopted {
        /// The stamp that was read.
        stamp: i64,
        /// How often it was read again, and had not moved.
        standstills: u32,
    },
    /// It found that the stamp stands still, and advances it next.
    Successor {
        /// The stamp.
        stamp: i64,
    },
    /// It advances the stamp.
    Timekeeper {
        /// The stamp as it was left.
        stamp: i64,
    },
}

/// What a total says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stamp {
    /// Stamps that were placed.
    placed: i64,
    /// The time, valid with one.
    time: i64,
}

impl Stamp {
    fn of(total: f64) -> Self {
        let total = if total.is_finite() { total.round() as i64 } else { -1 };
        Self { placed: total.div_euclid(PERIOD), time: total.rem_euclid(PERIOD) }
    }
}

/// The estimate, and the calls that it needs.
#[derive(Debug)]
pub(crate) struct FleetClock {
    gatekeepers: u64,
    random: fastrand::Rng,
    role: Role,
    /// Microseconds that this process's clock is ahead of the fleet's.
    offset: i64,
    call: Option<Call>,
    next_call_at: Timestamp,
    /// What is to be taken back.
    owed: i64,
    had_reply: bool,
}

impl FleetClock {
    /// One that knows nothing; its first call is due at once.
    pub(crate) fn new(gatekeepers: u32, seed: u64, now: Timestamp) -> Self {
        Self {
            gatekeepers: u64::from(gatekeepers),
            random: fastrand::Rng::with_seed(seed),
            role: Role::Reader,
            offset: 0,
            call: None,
            next_call_at: now,
            owed: 0,
            had_reply: false,
        }
    }

    /// Microseconds that this process's clock is ahead of the fleet's.
    pub(crate) fn offset(&self) -> i64 {
        self.offset
    }

    /// Whether a call has ended, however it did.
    pub(crate) fn had_reply(&self) -> bool {
        self.had_reply
    }

    /// When the next call is due; none while one is in flight.
    pub(crate) fn next_call_at(&self) -> Option<Timestamp> {
        self.call.is_none().then_some(self.next_call_at)
    }

    /// Starts the call that is due and returns what it adds; none where none is due.
    pub(crate) fn start_call(&mut self, now: Timestamp) -> Option<f64> {
        if self.call.is_some() || now < self.next_call_at {
            return None;
        }
        let time = self.fleet_stamp(now);
        let (call, amount) = match self.role {
            _ if self.owed != 0 => (Call::TakeBack, -self.owed),
            Role::Reader | Role::Candidate | Role::Doubting { .. } | Role::Adopted { .. } => (Call::Read, 0),
            Role::Placing { found } => {
                let amount = PERIOD + time - found;
                (Call::Place { stamp: time, amount }, amount)
            }
            Role::Successor { stamp } | Role::Timekeeper { stamp } => {
                // Around the end of a period this is negative.
                let amount = time - stamp;
                (Call::Advance { stamp: time, amount }, amount)
            }
        };
        self.call = Some(call);
        Some(amount as f64)
    }

    /// The call in flight has ended.
    pub(crate) fn call_ended(&mut self, now: Timestamp, outcome: Outcome, total: f64) {
        let Some(call) = self.call.take() else { return };
        self.had_reply = true;
        if outcome != Outcome::Ok {
            self.call_failed(now, call, outcome);
            return;
        }
        let stamp = Stamp::of(total);
        match call {
            Call::Read => self.on_read(now, stamp),
            Call::Place { stamp: time, amount } => self.on_added(now, stamp, time, amount),
            Call::Advance { stamp: time, amount } => self.on_advanced(now, stamp, time, amount),
            Call::TakeBack => {
                self.owed = 0;
                self.read_again(now);
            }
        }
    }

    /// Where it may have been added, the stamp is read before anything is added again.
    fn call_failed(&mut self, now: Timestamp, call: Call, outcome: Outcome) {
        let may_have_added = !outcome.never_ran();
        match call {
            Call::TakeBack if may_have_added => self.owed = 0,
            Call::Place { .. } | Call::Advance { .. } if may_have_added => self.role = Role::Reader,
            _ => {}
        }
        self.next_call_at = now + RETRY_PAUSE / 2 + self.random_pause(RETRY_PAUSE / 2);
    }

    /// A random pause of so long at the most, longer where there are many gatekeepers.
    fn random_pause(&mut self, longest: Micros) -> Micros {
        self.random.u64(..longest * (1 + self.gatekeepers / GATEKEEPERS_PER_PAUSE))
    }

    fn on_read(&mut self, now: Timestamp, stamp: Stamp) {
        match (stamp.placed, self.role) {
            (0, Role::Candidate) => self.place(now, stamp.time),
            (0, _) => {
                self.role = Role::Candidate;
                self.next_call_at = now + self.random_pause(VACANCY_PAUSE);
            }
            (1, _) => self.compare(now, stamp.time),
            _ => self.read_again(now),
        }
    }

    /// A stamp is placed with the next call, which is due at once. `found`: what the count holds without one.
    fn place(&mut self, now: Timestamp, found: i64) {
        self.role = Role::Placing { found };
        self.next_call_at = now;
    }

    fn on_added(&mut self, now: Timestamp, found: Stamp, time: i64, amount: i64) {
        if found == (Stamp { placed: 1, time }) {
            self.role = Role::Timekeeper { stamp: time };
            self.next_call_at = now + ADVANCE_INTERVAL;
        } else {
            // Another one was placed as well, and came first.
            self.role = Role::Reader;
            self.owed = amount;
            self.next_call_at = now;
        }
    }

    fn on_advanced(&mut self, now: Timestamp, found: Stamp, time: i64, amount: i64) {
        let is_fresh =
            found.placed == 0 && found.time == amount || found.placed == -1 && found.time == PERIOD + amount;
        if is_fresh {
            // It had expired, or the counter has lost it: what was added alone is there.
            self.place(now, amount);
        } else {
            self.on_added(now, found, time, amount);
        }
    }

    /// Compares a stamp with the time that is assumed.
    fn compare(&mut self, now: Timestamp, stamp: i64) {
        if let Role::Adopted { stamp: before, standstills } = self.role
            && before == stamp
        {
            return self.on_standstill(now, stamp, standstills + 1);
        }
        let behind = wrapped(self.fleet_stamp(now) - stamp);
        if AGREEMENT.contains(&behind) {
            self.role = Role::Reader;
            let interval = READ_INTERVAL + READ_INTERVAL_PER_GATEKEEPER * self.gatekeepers;
            self.next_call_at = now + interval / 2 + self.random.u64(..interval);
            return;
        }
        // What lies in the future, or is older than any stamp that stands still, is another clock's.
        let may_stand_still = (0..=LONGEST_STANDSTILL).contains(&behind);
        match self.role {
            Role::Doubting { stamp: before } if may_stand_still && before == stamp => {
                self.role = Role::Successor { stamp };
                self.next_call_at = now;
            }
            Role::Doubting { .. } => self.adopt(now, stamp, behind),
            _ if may_stand_still => {
                self.role = Role::Doubting { stamp };
                self.next_call_at = now + CONFIRMATION_INTERVAL + self.random_pause(DOUBT_PAUSE);
            }
            _ => self.adopt(now, stamp, behind),
        }
    }

    /// The stamp is another clock's time: this process's clock is off by that. If its timekeeper has died it is old as well, which
    /// shows when another one advances it.
    fn adopt(&mut self, now: Timestamp, stamp: i64, behind: i64) {
        self.offset += (behind - MEAN_AGE) * UNIT as i64;
        self.role = Role::Adopted { stamp, standstills: 0 };
        self.next_call_at = now + CONFIRMATION_INTERVAL + self.random_pause(DOUBT_PAUSE);
    }

    /// Those that know the fleet's time better go first.
    fn on_standstill(&mut self, now: Timestamp, stamp: i64, standstills: u32) {
        if standstills < MAX_STANDSTILLS {
            self.role = Role::Adopted { stamp, standstills };
            self.next_call_at = now + CONFIRMATION_INTERVAL + self.random_pause(DOUBT_PAUSE);
        } else {
            self.role = Role::Successor { stamp };
            self.next_call_at = now;
        }
    }

    fn read_again(&mut self, now: Timestamp) {
        self.role = Role::Reader;
        self.next_call_at = now + RETRY_PAUSE / 2 + self.random_pause(RETRY_PAUSE / 2);
    }

    /// The fleet's time, as far as it is known, as a stamp tells it.
    fn fleet_stamp(&self, now: Timestamp) -> i64 {
        ((now.as_micros() as i64 - self.offset) / UNIT as i64).rem_euclid(PERIOD)
    }
}

/// A difference of two stamps, the shorter way round.
fn wrapped(difference: i64) -> i64 {
    let difference = difference.rem_euclid(PERIOD);
    if difference > PERIOD / 2 { difference - PERIOD } else { difference }
}
