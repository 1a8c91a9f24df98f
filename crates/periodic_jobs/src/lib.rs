//! Which instance does which round of which duty, and when.
//!
//! [`Scheduler`] takes what happens — time passing, members coming and going, answers of the claim store — and says what
//! to do: open a session, read, claim, run. It has no I/O, no clock and no thread. [`ranks`] orders the living for each
//! duty by rendezvous hashing: the first tries a round at its start, the others step in one after the other, late enough
//! not to race it and early enough to finish in the same period. Whether they may is for the claim store alone to say
//! (see the crate `claims`).
//!
//! A round's number is the time of its start in Unix milliseconds, so it only grows, also when a duty's period is
//! changed. It is the fencing token too: a receiver that keeps the highest it has seen refuses what comes late or twice.
//!
//! Invariants:
//!
//! - A run is asked for only after a claim on that very round was seen to hold, and once at most.
//! - A run carries the end of its round on both clocks; who carries it out looks again before it acts
//!   ([`Run::in_time`]), since a pause may fall anywhere.
//! - Without a session there is no claim, and while the store is away there is one call a trial period and no more.

pub mod ranks;
mod scheduler;

pub use scheduler::{Action, Config, Note, Scheduler, Shown};

/// A time on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Milliseconds of Unix time, by which rounds are numbered.
    pub wall: u64,
    /// Milliseconds on a clock that is never set.
    pub mono: u64,
}

/// Something to be done once in each period by exactly one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Duty {
    /// Its name, the same at all instances.
    pub name: String,
    /// Milliseconds from round to round.
    pub period: u64,
}

/// A round to be done now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The duty's name.
    pub duty: String,
    /// The round: its start in Unix milliseconds, and the fencing token.
    pub round: u64,
    /// It must begin before this, in Unix milliseconds.
    pub before_wall: u64,
    /// It must begin before this on the clock that is never set.
    pub before_mono: u64,
}

impl Run {
    /// Whether it may still begin. Both clocks must say so: one may have been set, and an instance that was paused
    /// finds that time has passed on both.
    pub fn in_time(&self, now: Now) -> bool {
        now.wall < self.before_wall && now.mono < self.before_mono
    }
}

/// The start of the round that a time falls into. Rounds of different duties start at different times, so that not all
/// claims come at once.
pub fn round_at(duty: &Duty, wall: u64) -> u64 {
    let phase = ranks::hash(&duty.name) % duty.period.max(1);
    let since = (wall + duty.period - phase) % duty.period.max(1);
    wall.saturating_sub(since)
}
