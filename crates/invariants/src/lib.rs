//! Rules that are checked while the gatekeeper runs. There is one guard for each kind of step: sending, repeating, closing and
//! starting. Each looks at the rule by itself, not by the state that the decision was made from, right before the step. A violation is
//! counted and logged with its ids; the step goes on, since ending the process would cost more requests.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Violations of one guard that are logged each; of those that follow one in so many is.
const LOGGED: u64 = 20;
const LOGGED_PERIOD: u64 = 100;

/// A kind of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Guard {
    /// An attempt is written to a backend.
    Sending = 0,
    /// A request is sent once more.
    Repeating,
    /// A client's connection is closed.
    Closing,
    /// A process begins to serve.
    Starting,
}

impl Guard {
    /// All guards, each at the index of its number.
    pub const ALL: [Self; 4] = [Self::Sending, Self::Repeating, Self::Closing, Self::Starting];

    /// The name that operators read in metrics and logs; it never changes.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sending => "sending",
            Self::Repeating => "repeating",
            Self::Closing => "closing",
            Self::Starting => "starting",
        }
    }
}

static VIOLATIONS: [AtomicU64; Guard::ALL.len()] = [const { AtomicU64::new(0) }; Guard::ALL.len()];

/// Counts and logs a violation. `details` names what was done, with ids.
pub fn violated(guard: Guard, details: fmt::Arguments<'_>) {
    let count = 1 + VIOLATIONS[guard as usize].fetch_add(1, Ordering::Relaxed);
    if count <= LOGGED || count.is_multiple_of(LOGGED_PERIOD) {
        tracing::warn!(guard = guard.name(), count, %details, "invariant violated");
    }
}

/// Reports a violation unless the rule holds.
pub fn check(guard: Guard, holds: bool, details: fmt::Arguments<'_>) {
    if !holds {
        violated(guard, details);
    }
}

/// Violations of a guard since the process began.
pub fn violations(guard: Guard) -> u64 {
    VIOLATIONS[guard as usize].load(Ordering::Relaxed)
}
