//! The election of the timekeeper: the one process that places a stamp (a reading of its clock) in the clock count at the quota
//! counter, and advances the stamp.
//!
//! The election is a state machine without clock and randomness. [`Election::next_call`] returns the next counter call,
//! [`Election::on_reply`] applies the reply and decides how to continue. A stamp *makes progress* if its time has changed since
//! the last read of the stamp, which shows that a timekeeper is alive.
//!
//! ```mermaid
//! stateDiagram-v2
//!     [*] --> Follower
//!     Follower --> Follower: fresh stamp
//!     Follower --> Candidate: no stamp
//!     Follower --> Confirming: possibly stale stamp
//!     Follower --> Adopted: stamp of an offset clock
//!     Candidate --> Claiming: still no stamp
//!     Claiming --> Timekeeper: stamp placed
//!     Claiming --> RollingBack: conflict
//!     Confirming --> Follower: fresh stamp
//!     Confirming --> TakingOver: no progress
//!     Confirming --> Adopted: progress, or stamp of an offset clock
//!     Adopted --> Follower: progress, fresh stamp
//!     Adopted --> Confirming: progress, possibly stale stamp
//!     Adopted --> Adopted: progress, stamp of an offset clock
//!     Adopted --> TakingOver: 30 reads without progress
//!     TakingOver --> Timekeeper: stamp advanced
//!     TakingOver --> Claiming: stamp expired
//!     TakingOver --> RollingBack: conflict
//!     Timekeeper --> Timekeeper: stamp advanced
//!     Timekeeper --> Claiming: stamp expired
//!     Timekeeper --> RollingBack: conflict
//!     RollingBack --> Follower: rolled back
//! ```
//!
//! The diagram leaves out these transitions: A candidate that reads a stamp proceeds as a follower does. From each state that
//! reads, a read that finds no stamp leads to `Candidate`, and a read that finds several stamps leads to `Follower`. If a call
//! that adds fails but may have been applied, `Follower` is next: the stamp is read before anything is added again. Any other
//! failed call is repeated after a backoff.

use super::offset::Freshness;
use super::pacing::CallDelay;
use super::stamp::{Stamp, StampTime, Ticks};
use policy::Outcome;

#[cfg(test)]
mod tests;

/// A process that adopted the time of a stamp takes over as timekeeper after this many reads of an unchanged stamp. The process
/// has a wrong clock offset if the stamp was stale, so it waits longer than processes with a better estimate of their offset.
const MAX_READS_WITHOUT_PROGRESS: u32 = 30;

/// The role of this process in the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ElectionState {
    /// A process that only reads the timekeeper's stamp, at intervals.
    Follower,
    /// A process that found no stamp, and reads once more before it places its own stamp.
    Candidate,
    /// A process that places its own stamp with the next call, as no other process has placed a stamp.
    Claiming {
        /// The sum of the clock count, which holds no stamp.
        residue: Ticks,
    },
    /// A process that found a possibly stale stamp, and reads the stamp again.
    Confirming {
        /// The possibly stale stamp.
        stamp: StampTime,
    },
    /// A process that adopted the time of a stamp, and reads the stamp until a timekeeper advances the stamp.
    Adopted {
        /// The stamp whose time the process adopted.
        stamp: StampTime,
        /// Number of later reads that found the stamp unchanged.
        reads_without_progress: u32,
    },
    /// A process that found the stamp to be stale, and advances the stamp with the next call to become the timekeeper.
    TakingOver {
        /// The stale stamp, which the next call advances.
        stamp: StampTime,
    },
    /// The process that advances the stamp with each call.
    Timekeeper {
        /// The stamp after the last advance.
        stamp: StampTime,
    },
    /// A process that found a conflict with another process's addition, and rolls back its own addition.
    RollingBack {
        /// The amount that this process added, which the next call subtracts.
        amount: Ticks,
    },
}

/// A call to the quota counter that reads or changes the clock count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StampCall {
    /// Reads the stamp without changing it.
    Read,
    /// Places a stamp in a clock count that holds no stamp.
    Place {
        /// The clock reading of the new stamp.
        time: StampTime,
        /// The amount that the call adds to the clock count: the encoded stamp.
        amount: Ticks,
    },
    /// Advances the stamp to a later time.
    Advance {
        /// The clock reading of the stamp after the call.
        time: StampTime,
        /// The amount that the call adds to the clock count: the difference from the previous stamp.
        amount: Ticks,
    },
    /// Rolls back this process's addition to the clock count after a conflict with another process.
    RollBack {
        /// The amount that the call adds to the clock count: the negative of the earlier addition.
        amount: Ticks,
    },
}

impl StampCall {
    /// The amount that the call adds to the clock count; 0 for a read.
    pub(super) fn amount(self) -> Ticks {
        match self {
            Self::Read => Ticks::ZERO,
            Self::Place { amount, .. } | Self::Advance { amount, .. } | Self::RollBack { amount } => amount,
        }
    }
}

/// How the election continues after the reply to a counter call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// Make the next call after this delay.
    CallAfter(CallDelay),
    /// Correct the estimate of the clock offset by this stamp, which has the fleet's time. Then read the stamp again to confirm
    /// that a timekeeper advances the stamp.
    AdoptStamp(StampTime),
}

/// The state machine of one process in the election.
#[derive(Debug)]
pub(super) struct Election {
    state: ElectionState,
}

impl Election {
    pub(super) fn new() -> Self {
        Self { state: ElectionState::Follower }
    }

    #[cfg(test)]
    pub(super) fn is_timekeeper(&self) -> bool {
        matches!(self.state, ElectionState::Timekeeper { .. })
    }

    /// Returns the next call to the quota counter. `time` is the fleet's time, as this process currently estimates it.
    pub(super) fn next_call(&self, time: StampTime) -> StampCall {
        match self.state {
            ElectionState::Follower
            | ElectionState::Candidate
            | ElectionState::Confirming { .. }
            | ElectionState::Adopted { .. } => StampCall::Read,
            ElectionState::Claiming { residue } => {
                StampCall::Place { time, amount: time.placement_amount(residue) }
            }
            ElectionState::TakingOver { stamp } | ElectionState::Timekeeper { stamp } => {
                StampCall::Advance { time, amount: time.advance_amount(stamp) }
            }
            ElectionState::RollingBack { amount } => StampCall::RollBack { amount: -amount },
        }
    }

    /// Applies the failure of a call and returns the delay of the next call.
    pub(super) fn on_failure(&mut self, call: StampCall, outcome: Outcome) -> CallDelay {
        let may_have_added = call != StampCall::Read && !outcome.never_ran();
        if may_have_added {
            self.state = ElectionState::Follower;
        }
        CallDelay::Backoff
    }

    /// Applies the reply to a call. `stamp` is the decoded sum of the clock count after the call, and `freshness` tells whether
    /// the time of the stamp is recent.
    pub(super) fn on_reply(&mut self, call: StampCall, stamp: Stamp, freshness: Freshness) -> Decision {
        match call {
            StampCall::Read => self.on_read(stamp, freshness),
            StampCall::Place { time, amount } => Decision::CallAfter(self.on_added(stamp, time, amount)),
            StampCall::Advance { time, amount } => Decision::CallAfter(self.on_advanced(stamp, time, amount)),
            StampCall::RollBack { .. } => self.enter(ElectionState::Follower, CallDelay::Backoff),
        }
    }

    fn on_read(&mut self, stamp: Stamp, freshness: Freshness) -> Decision {
        match (stamp.placed_count, self.state) {
            (0, ElectionState::Candidate) => {
                self.enter(ElectionState::Claiming { residue: stamp.total() }, CallDelay::None)
            }
            (0, _) => self.enter(ElectionState::Candidate, CallDelay::Vacancy),
            (1, _) => self.on_single_stamp(stamp.time, freshness),
            _ => self.enter(ElectionState::Follower, CallDelay::Backoff),
        }
    }

    fn on_single_stamp(&mut self, stamp: StampTime, freshness: Freshness) -> Decision {
        match (self.state, freshness) {
            (ElectionState::Adopted { stamp: adopted, reads_without_progress }, _) if adopted == stamp => {
                self.on_read_without_progress(stamp, reads_without_progress + 1)
            }
            (_, Freshness::Fresh) => self.enter(ElectionState::Follower, CallDelay::FollowerRead),
            (ElectionState::Confirming { stamp: earlier }, Freshness::PossiblyStale) if earlier == stamp => {
                self.enter(ElectionState::TakingOver { stamp }, CallDelay::None)
            }
            (ElectionState::Confirming { .. }, _) | (_, Freshness::OffsetClock) => {
                // The stamp may also be stale, if its timekeeper has died. Later reads show whether the stamp makes progress.
                self.state = ElectionState::Adopted { stamp, reads_without_progress: 0 };
                Decision::AdoptStamp(stamp)
            }
            (_, Freshness::PossiblyStale) => {
                self.enter(ElectionState::Confirming { stamp }, CallDelay::Confirmation)
            }
        }
    }

    fn on_read_without_progress(&mut self, stamp: StampTime, reads_without_progress: u32) -> Decision {
        if reads_without_progress < MAX_READS_WITHOUT_PROGRESS {
            self.enter(ElectionState::Adopted { stamp, reads_without_progress }, CallDelay::Confirmation)
        } else {
            self.enter(ElectionState::TakingOver { stamp }, CallDelay::None)
        }
    }

    fn on_advanced(&mut self, found: Stamp, time: StampTime, amount: Ticks) -> CallDelay {
        // If the sum of the clock count is only the amount just added, the stamp had expired or the counter had lost the stamp.
        let has_expired = found.total() == amount;
        if has_expired {
            self.state = ElectionState::Claiming { residue: amount };
            CallDelay::None
        } else {
            self.on_added(found, time, amount)
        }
    }

    fn on_added(&mut self, found: Stamp, time: StampTime, amount: Ticks) -> CallDelay {
        if found == Stamp::single(time) {
            self.state = ElectionState::Timekeeper { stamp: time };
            return CallDelay::Advance;
        }
        // Another process has changed the clock count first, so this process rolls back its own addition.
        let has_added = amount != Ticks::ZERO;
        self.state = if has_added { ElectionState::RollingBack { amount } } else { ElectionState::Follower };
        CallDelay::None
    }

    fn enter(&mut self, state: ElectionState, delay: CallDelay) -> Decision {
        self.state = state;
        Decision::CallAfter(delay)
    }
}
