//! Versions of settings that several gatekeepers agree on, and until when each may act on what it knows, without I/O.
//!
//! [`Voter`] is one of the three or five that keep the log: entries that a majority has written down, in one order, by the
//! state machine of the crate `raft`. [`Versions`] is what the entries say: the version in force, one that is proposed, and what
//! became of each proposal. [`Asker`] is any gatekeeper's lease on the last of them, [`Leader`] what a leader knows of the
//! leases that it has given. docs/design/agreed.md has the reasons.
//!
//! Invariants:
//!
//! - What [`Voter::ready`] says is to be written is on disk before anything behind it is sent; its order says so.
//! - Two gatekeepers with leases act on the same version, or on a version and its proposed successor, by the stricter of both.
//! - Time is milliseconds of each one's own monotonic clock. No two clocks are compared.
//! - Entries, logs, questions and what is remembered of proposals are bounded.

mod lease;
mod log;
mod message;
mod replica;
mod state;

pub use lease::{Answer, Asker, Leader, Stage};
pub use log::{Base, Kept, Line, Record};
pub use message::{Ask, MOST_BYTES, Word};
pub use replica::{Ready, Voter};
pub use state::{Change, Entry, Outcome, Version, Versions};

/// The most bytes of a version's text.
pub const MOST_TEXT: usize = 256 * 1024;
