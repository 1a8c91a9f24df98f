//! The protocol of a hot restart between the serving process (the predecessor) and the one that replaces it (the successor).
//!
//! The successor connects to the predecessor's [`UpgradeSocket`]. Over this connection, of which [`Peer`] is one end, both
//! exchange [`Message`]s. Each is one frame, and some carry a file descriptor:
//!
//! ```text
//! successor                                predecessor
//!     | ------------- Hello ------------------> |
//!     | ------------- RequestState ------------> |  + read end of the admission journal
//!     | <------------ State -------------------- |  + listening socket; admits no more requests
//!     | <------------ ClientConnection --------- |  + client socket, once for each connection
//!     | <--- SetEjected, EjectionApplied ------> |  while both are alive
//! ```
//!
//! While the predecessor is alive, the successor writes its admissions to an [`AdmissionJournal`], from which the predecessor can
//! take over again.
//!
//! This package limits the length of frames and rejects malformed ones. The binary disconnects a peer that sends such a frame,
//! and decides what the messages do.

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
