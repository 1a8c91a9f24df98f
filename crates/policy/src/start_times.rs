//! Estimates the start times of backends on this gatekeeper's clock.
//!
//! The endpoint list states start times on a clock that is common to all machines. If the wall clock of a
//! gatekeeper was wrong when the process started, the clock of the gatekeeper differs from the common clock.
//! The gatekeeper converts start times by this evidence:
//!
//! - If the gatekeeper is notified of a start while it receives the list from discovery, the start is recent.
//!   On the gatekeeper's clock it is at most [`MAX_NOTIFICATION_AGE`] before the notification. If the stated
//!   start lies outside of that range, the time of the notification counts as the start.
//! - No backend starts in the future. The gatekeeper's clock is therefore behind by at least the time by
//!   which a stated start is ahead of it.
//! - The offset of the gatekeeper's clock from the fleet's clock, if the offset is known
//!   ([`StartTimes::set_clock_offset`]). The fleet's clock itself may be wrong. If the two clocks disagree,
//!   the clock that makes backends younger counts, unless it puts a start into the future.

use crate::event::BackendEntry;
use crate::ids::BackendId;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Maximum age in microseconds of a start at its notification. Lists may be late, and a watch of the list may
/// have been interrupted.
const MAX_NOTIFICATION_AGE: i64 = 60_000_000;
/// Microseconds by which a stated start may be in the future although all clocks are right.
const FUTURE_START_TOLERANCE: i64 = 1_000_000;
/// Maximum number of backends whose last start is stored, including backends that left the list.
const MAX_KNOWN_STARTS: usize = 16_384;

/// Known start times of backends, and the evidence on the error of this gatekeeper's clock.
#[derive(Debug, Default)]
pub(crate) struct StartTimes {
    /// Microseconds by which this gatekeeper's clock is ahead of the fleet's clock; 0 if unknown.
    clock_offset: i64,
    /// Whether a list from discovery has been applied, so that this gatekeeper is notified of later starts.
    has_discovery_list: bool,
    /// Smallest age that any start had when it was first listed, in microseconds on this gatekeeper's clock;
    /// negative if that start was in the future.
    min_start_age: Option<i64>,
    known_starts: BTreeMap<BackendId, KnownStart>,
}

/// The last known start of a backend.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    /// Start time as stated by the endpoint list.
    stated: Timestamp,
    /// Start time on this gatekeeper's clock; `None` if the gatekeeper was not notified of the start.
    notified: Option<Timestamp>,
}

impl StartTimes {
    /// Sets by how many microseconds this gatekeeper's clock is ahead of the fleet's clock.
    pub(crate) fn set_clock_offset(&mut self, offset: i64) {
        self.clock_offset = offset;
    }

    /// Converts `now`, a reading of this gatekeeper's clock, to the fleet's clock.
    pub(crate) fn fleet_time(&self, now: Timestamp) -> Timestamp {
        now.saturating_add_signed(-self.clock_offset)
    }

    /// Records that a list from discovery, as opposed to a cached one, has been applied.
    pub(crate) fn record_discovery_list(&mut self) {
        self.has_discovery_list = true;
    }

    /// Records the start that an entry of the list states. Returns the start time on this gatekeeper's clock,
    /// or `None` if the gatekeeper was not notified of this start or the backend started long ago.
    pub(crate) fn observe(&mut self, entry: &BackendEntry, now: Timestamp) -> Option<Timestamp> {
        let stated = entry.started;
        if stated == Timestamp::ZERO {
            return None;
        }
        if let Some(known) = self.known_starts.get(&entry.id).filter(|known| known.stated == stated) {
            return known.notified;
        }
        let age = now.as_micros() as i64 - stated.as_micros() as i64;
        let notified = self.has_discovery_list.then(|| self.notified_start(age, now));
        self.min_start_age = Some(self.min_start_age.map_or(age, |min| min.min(age)));
        self.store_start(entry.id, KnownStart { stated, notified });
        notified
    }

    /// Start time, on this gatekeeper's clock, of a backend whose start is notified now. `age` is the age of
    /// the stated start in microseconds on this gatekeeper's clock, before the error of the clock is
    /// corrected.
    fn notified_start(&self, age: i64, now: Timestamp) -> Timestamp {
        let age = age - self.clock_error();
        if (-FUTURE_START_TOLERANCE..=MAX_NOTIFICATION_AGE).contains(&age) {
            now.saturating_add_signed(-age)
        } else {
            now
        }
    }

    fn store_start(&mut self, backend: BackendId, start: KnownStart) {
        if self.known_starts.len() >= MAX_KNOWN_STARTS && !self.known_starts.contains_key(&backend) {
            // Any entry may be removed: backends on the list are observed again with the next complete list.
            self.known_starts.pop_first();
        }
        self.known_starts.insert(backend, start);
    }

    /// Start time of a backend on this gatekeeper's clock; [`Timestamp::ZERO`] if it started long ago.
    /// `stated` is the start in its entry, `notified` the start that [`StartTimes::observe`] returned.
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

    /// Microseconds by which this gatekeeper's clock is ahead of the clock of the stated starts.
    fn clock_error(&self) -> i64 {
        let is_possible =
            |error: i64| self.min_start_age.is_none_or(|min| error <= min + FUTURE_START_TOLERANCE);
        let (ahead, behind) = (self.clock_offset.max(0), self.clock_offset.min(0));
        match (is_possible(ahead), is_possible(behind)) {
            (true, _) => ahead,
            (false, true) => behind,
            (false, false) => self.min_start_age.unwrap_or(0),
        }
    }
}
