//! The protocol of a hot restart: how the process that serves (the predecessor) and the one that replaces it (the successor)
//! talk to each other.
//!
//! The successor connects to the [`UpgradeSocket`] of the predecessor. Both exchange [`Message`]s over that connection, each in
//! one frame, some with a file descriptor; [`Peer`] is one end of it. While the predecessor still lives, the successor writes
//! what it admits to an [`AdmissionJournal`], from which the predecessor can take over again.
//!
//! What the messages mean for a gatekeeper is decided by the binary. Whatever arrives is bounded and checked; a peer that sends
//! anything else is disconnected.

mod error;
mod journal;
mod message;
mod peer;
mod upgrade_socket;

pub use error::Error;
pub use journal::{Admission, AdmissionJournal, JOURNAL_DRAIN_TIMEOUT, JournalEnd, read_journal};
pub use message::{BackendNumber, Message, PROTOCOL_VERSION};
pub use peer::{MAX_FRAME_BYTES, Peer};
pub use upgrade_socket::UpgradeSocket;
