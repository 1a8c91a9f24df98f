//! When backends started, and by how much this gatekeeper's clock is off: estimates, no decision.
//!
//! The endpoint list states starts on a clock that all machines read. A gatekeeper whose wall clock was wrong when it started reads
//! another one, and all that it can go by is:
//!
//! - A start that it is notified of while it follows the list has just been: by its own clock the backend started between then and
//!   [`MAX_NOTIFICATION_AGE`] before, or just now if the stated start lies anywhere else.
//! - No backend starts in the future, so the clock is behind at least by what a stated start lies ahead.
//! - The other gatekeepers' clock, as far as that is known ([`StartTimes::set_clock_offset`]). It may be theirs that is wrong: of two
//!   clocks that disagree the one is taken by which backends are younger, unless that puts a start into the future.

use crate::event::BackendEntry;
use crate::ids::BackendId;
use crate::state::Backend;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// A start that is notified may be so old: lists may be late, and a watch may have been lost.
const MAX_NOTIFICATION_AGE: i64 = 60_000_000;
/// By how much a stated start may lie in the future where all clocks are right.
const TOLERANCE: i64 = 1_000_000;
/// Backends whose last start is remembered, also while they are off the list.
const MAX_REMEMBERED: usize = 16_384;

/// What is known of starts and clocks.
#[derive(Debug, Default)]
pub(crate) struct StartTimes {
    /// Microseconds that this gatekeeper's clock is ahead of the fleet's.
    clock_offset: i64,
    /// A list has come from discovery: what starts from then on is notified.
    is_following: bool,
    /// The least age at which a start was heard of, by this gatekeeper's clock.
    least_age: Option<i64>,
    known: BTreeMap<BackendId, KnownStart>,
}

/// The last known start of a backend.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    /// As the list states it.
    stated: Timestamp,
    /// By this gatekeeper's clock, where it was notified.
    notified: Option<Timestamp>,
}

impl StartTimes {
    /// This gatekeeper's clock is so many microseconds ahead of the fleet's.
    pub(crate) fn set_clock_offset(&mut self, offset: i64) {
        self.clock_offset = offset;
    }

    /// The time by the clock that the fleet goes by.
    pub(crate) fn fleet_time(&self, now: Timestamp) -> Timestamp {
        now.saturating_add_signed(-self.clock_offset)
    }

    /// A list from discovery has been applied.
    pub(crate) fn follow(&mut self) {
        self.is_following = true;
    }

    /// Takes in an entry of a list. Returns when the backend started by this gatekeeper's clock, where that was notified of it.
    pub(crate) fn observe(&mut self, entry: &BackendEntry, now: Timestamp) -> Option<Timestamp> {
        let stated = entry.started;
        if stated == Timestamp::ZERO {
            return None;
        }
        if let Some(known) = self.known.get(&entry.id).filter(|known| known.stated == stated) {
            return known.notified;
        }
        let age = now.as_micros() as i64 - stated.as_micros() as i64;
        let notified = self.is_following.then(|| self.notified_start(age, now));
        self.least_age = Some(self.least_age.map_or(age, |least| least.min(age)));
        self.remember(entry.id, KnownStart { stated, notified });
        notified
    }

    /// When a backend started of whose start this gatekeeper is notified now. `age`: by its clock.
    fn notified_start(&self, age: i64, now: Timestamp) -> Timestamp {
        let age = age - self.clock_error();
        if (-TOLERANCE..=MAX_NOTIFICATION_AGE).contains(&age) { now.saturating_add_signed(-age) } else { now }
    }

    fn remember(&mut self, backend: BackendId, start: KnownStart) {
        if self.known.len() >= MAX_REMEMBERED && !self.known.contains_key(&backend) {
            // Any one: those on the list come again with the next complete one.
            self.known.pop_first();
        }
        self.known.insert(backend, start);
    }

    /// When a backend started, by this gatekeeper's clock; 0 for long ago.
    pub(crate) fn start_of(&self, backend: &Backend, now: Timestamp) -> Timestamp {
        match backend.notified_start {
            Some(start) => start,
            None if backend.entry.started == Timestamp::ZERO => Timestamp::ZERO,
            None => {
                let earliest = Timestamp::from_micros(1);
                backend
                    .entry
                    .started
                    .saturating_add_signed(self.clock_error())
                    .clamp(earliest, now.max(earliest))
            }
        }
    }

    /// Microseconds that this gatekeeper's clock is ahead of the one that starts are stated on.
    fn clock_error(&self) -> i64 {
        let is_possible = |error: i64| self.least_age.is_none_or(|least| error <= least + TOLERANCE);
        let (ahead, behind) = (self.clock_offset.max(0), self.clock_offset.min(0));
        match (is_possible(ahead), is_possible(behind)) {
            (true, _) => ahead,
            (false, true) => behind,
            (false, false) => self.least_age.unwrap_or(0),
        }
    }
}
