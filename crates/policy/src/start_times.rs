//! Start times of backends, and the offset of this gatekeeper's clock: estimates, no decision.
//!
//! The endpoint list states starts on a clock that all machines read. A gatekeeper whose wall clock was wrong when it started reads
//! another clock. Its evidence is:
//!
//! - A start of which it is notified while it follows the list is recent. By its own clock the backend started at most
//!   [`MAX_NOTIFICATION_AGE`] before the notification, or at the notification if the stated start lies outside that range.
//! - No backend starts in the future, so the clock is behind by at least the span that a stated start lies ahead.
//! - The offset from the fleet's clock, as far as it is known ([`StartTimes::set_clock_offset`]). The fleet's clock may be the wrong
//!   one. Of two clocks that disagree the one counts by which backends are younger, unless that puts a start into the future.

use crate::event::BackendEntry;
use crate::ids::BackendId;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Maximum age of a start in microseconds when this gatekeeper is notified of it: lists may be late, and a watch may have been lost.
const MAX_NOTIFICATION_AGE: i64 = 60_000_000;
/// Microseconds by which a stated start may lie in the future where all clocks are right.
const TOLERANCE: i64 = 1_000_000;
/// Maximum number of backends whose last start is remembered, also while they are off the list.
const MAX_REMEMBERED: usize = 16_384;

/// Known starts and the offset of the clock.
#[derive(Debug, Default)]
pub(crate) struct StartTimes {
    /// Microseconds that this gatekeeper's clock is ahead of the fleet's.
    clock_offset: i64,
    /// A list has come from discovery: this gatekeeper is notified of starts from now on.
    is_following: bool,
    /// The least age of a start when it was first listed, by this gatekeeper's clock.
    min_age: Option<i64>,
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
    /// Sets by how many microseconds this gatekeeper's clock is ahead of the fleet's.
    pub(crate) fn set_clock_offset(&mut self, offset: i64) {
        self.clock_offset = offset;
    }

    /// The time by the fleet's clock.
    pub(crate) fn fleet_time(&self, now: Timestamp) -> Timestamp {
        now.saturating_add_signed(-self.clock_offset)
    }

    /// A list from discovery has been applied.
    pub(crate) fn follow(&mut self) {
        self.is_following = true;
    }

    /// Observes an entry of a list. Returns when the backend started by this gatekeeper's clock, if it was notified of the start.
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
        self.min_age = Some(self.min_age.map_or(age, |min| min.min(age)));
        self.remember(entry.id, KnownStart { stated, notified });
        notified
    }

    /// The start of a backend of which this gatekeeper is notified now. `age`: by its clock.
    fn notified_start(&self, age: i64, now: Timestamp) -> Timestamp {
        let age = age - self.clock_error();
        if (-TOLERANCE..=MAX_NOTIFICATION_AGE).contains(&age) { now.saturating_add_signed(-age) } else { now }
    }

    fn remember(&mut self, backend: BackendId, start: KnownStart) {
        if self.known.len() >= MAX_REMEMBERED && !self.known.contains_key(&backend) {
            // Any entry: those on the list are observed again with the next complete list.
            self.known.pop_first();
        }
        self.known.insert(backend, start);
    }

    /// When a backend started, by this gatekeeper's clock; [`Timestamp::ZERO`] for long ago. `stated`: as its entry states it.
    /// `notified`: when this gatekeeper was notified of the start.
    pub(crate) fn start_of(
        &self,
        stated: Timestamp,
        notified: Option<Timestamp>,
        now: Timestamp,
    ) -> Timestamp {
        match notified {
            Some(start) => start,
            None if stated == Timestamp::ZERO => Timestamp::ZERO,
            None => {
                let earliest = Timestamp::from_micros(1);
                stated.saturating_add_signed(self.clock_error()).clamp(earliest, now.max(earliest))
            }
        }
    }

    /// Microseconds that this gatekeeper's clock is ahead of the one that starts are stated on.
    fn clock_error(&self) -> i64 {
        let is_possible = |error: i64| self.min_age.is_none_or(|min| error <= min + TOLERANCE);
        let (ahead, behind) = (self.clock_offset.max(0), self.clock_offset.min(0));
        match (is_possible(ahead), is_possible(behind)) {
            (true, _) => ahead,
            (false, true) => behind,
            (false, false) => self.min_age.unwrap_or(0),
        }
    }
}
