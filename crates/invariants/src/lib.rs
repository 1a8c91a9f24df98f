//! Invariants that are checked while the gatekeeper runs. There is a [`Guard`] for each kind of step: sending, repeating, closing
//! and starting. Right before the step it checks the rule independently of the state that led to the decision. A violation is
//! counted and logged with its ids, and the step continues, since ending the process would lose more requests.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// The first violations of a guard, up to this number, are all logged.
const MAX_LOGGED_EACH: u64 = 20;
/// Of the further violations of a guard, one in this number is logged.
const LOG_SAMPLING_PERIOD: u64 = 100;

/// A check before one kind of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Guard {
    /// An attempt is written to a backend.
    Sending = 0,
    /// An attempt at a request is retried.
    Repeating,
    /// A client's connection is closed.
    Closing,
    /// The process starts to serve.
    Starting,
}

impl Guard {
    /// All guards. The index of a guard is its discriminant.
    pub const ALL: [Self; 4] = [Self::Sending, Self::Repeating, Self::Closing, Self::Starting];

    /// The name in metrics and logs. Operators' tools rely on it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sending => "sending",
            Self::Repeating => "repeating",
            Self::Closing => "closing",
            Self::Starting => "starting",
        }
    }
}

/// Numbers of violations, by guard.
static VIOLATIONS: [AtomicU64; Guard::ALL.len()] = [const { AtomicU64::new(0) }; Guard::ALL.len()];

/// Counts and logs a violation. `details` describes the step with its ids.
pub fn violated(guard: Guard, details: fmt::Arguments<'_>) {
    let count = 1 + VIOLATIONS[guard as usize].fetch_add(1, Ordering::Relaxed);
    if count <= MAX_LOGGED_EACH || count.is_multiple_of(LOG_SAMPLING_PERIOD) {
        tracing::warn!(guard = guard.name(), count, %details, "invariant violated");
    }
}

/// Calls [`violated`] unless the rule `holds`.
pub fn check(guard: Guard, holds: bool, details: fmt::Arguments<'_>) {
    if !holds {
        violated(guard, details);
    }
}

/// Number of violations that a guard has found since the start of the process.
pub fn violations(guard: Guard) -> u64 {
    VIOLATIONS[guard as usize].load(Ordering::Relaxed)
}
