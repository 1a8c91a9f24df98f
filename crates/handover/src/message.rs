//! The messages of a hot restart.
//!
//! Their encoding is postcard's, which is positional: the order of variants and fields and the types of fields are the wire
//! format. Names may change, anything else needs a new [`PROTOCOL_VERSION`].

use serde::{Deserialize, Serialize};

/// Version of the wire format. Processes with different versions do not take over from each other.
pub const PROTOCOL_VERSION: u32 = 2;

/// The number that the sender has given to a backend. Numbers differ between processes, ids do not.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct BackendNumber {
    /// The sender's number.
    pub number: u32,
    /// The backend's id.
    pub id: String,
}

/// A message from either process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The first message of a successor.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u32,
    },
    /// The successor is ready to serve and asks for the state. The read end of its admission journal comes with it.
    RequestState,
    /// The state of the predecessor, which admits nothing from here on. Its listening socket comes with it.
    State {
        /// The policy's snapshot in its own encoding.
        policy_snapshot: Vec<u8>,
        /// The listed backends.
        backends: Vec<BackendNumber>,
        /// Names of the plans, by number.
        plans: Vec<String>,
        /// Names of the request classes, by number.
        classes: Vec<String>,
        /// Ids of the backends that operators have ejected.
        ejected: Vec<String>,
    },
    /// A client connection between two requests. Its socket comes with it.
    ClientConnection {
        /// What was read of a request that is not yet complete.
        partial_request: Vec<u8>,
    },
    /// An operator ejects a backend, or lets it be used again.
    SetEjected {
        /// Returned in the reply.
        call: u64,
        /// The backend's id.
        id: String,
        /// True to eject it.
        ejected: bool,
        /// The sender has the backend listed or ejected. Otherwise the receiver checks whether it has.
        known: bool,
    },
    /// The reply to [`Message::SetEjected`].
    EjectionApplied {
        /// From the request.
        call: u64,
        /// Whether the receiver has applied it.
        applied: bool,
    },
}
