//! Invariants that are checked while the gatekeeper runs. There is a [`Guard`] for each kind of step: sending, retrying, closing
//! and starting. Right before such a step, its guard checks the invariant without relying on the state that led to the decision.
//! A violation is counted and logged with the ids involved, and the step continues, since ending the process would lose more
//! requests.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of violations found by one guard that are all logged, before sampling starts.
const UNSAMPLED_VIOLATIONS: u64 = 20;
/// One in this many violations of a guard is logged after the first [`UNSAMPLED_VIOLATIONS`].
const LOG_SAMPLING_PERIOD: u64 = 100;

/// A check that runs before one kind of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Guard {
    /// Before an attempt is written to a backend: the backend is eligible, and the attempt is in time.
    Sending = 0,
    /// Before a request is sent once more (a retry or a hedged attempt): its class permits a further attempt now.
    Retrying,
    /// Before the connection of a connected client is closed: all its requests have been answered.
    Closing,
    /// When the process starts to serve: it started in time, and took no request before.
    Starting,
}

impl Guard {
    /// All guards. The index of a guard is its discriminant.
    pub const ALL: [Self; 4] = [Self::Sending, Self::Retrying, Self::Closing, Self::Starting];

    /// The name in metrics and logs, which operators' tools match.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sending => "sending",
            Self::Retrying => "repeating",
            Self::Closing => "closing",
            Self::Starting => "starting",
        }
    }
}

/// Numbers of violations since the start of the process, indexed by the guard's discriminant.
static VIOLATIONS: [AtomicU64; Guard::ALL.len()] = [const { AtomicU64::new(0) }; Guard::ALL.len()];

/// Counts a violation and logs it, subject to sampling. `details` describes the step with the ids involved.
pub fn report_violation(guard: Guard, details: fmt::Arguments<'_>) {
    let count = 1 + VIOLATIONS[guard as usize].fetch_add(1, Ordering::Relaxed);
    if count <= UNSAMPLED_VIOLATIONS || count.is_multiple_of(LOG_SAMPLING_PERIOD) {
        tracing::warn!(guard = guard.name(), count, %details, "invariant violated");
    }
}

/// Reports a violation as [`report_violation`] does, unless the invariant `holds`.
pub fn check(guard: Guard, holds: bool, details: fmt::Arguments<'_>) {
    if !holds {
        report_violation(guard, details);
    }
}

/// Number of violations that a guard has found since the start of the process.
pub fn violations(guard: Guard) -> u64 {
    VIOLATIONS[guard as usize].load(Ordering::Relaxed)
}
