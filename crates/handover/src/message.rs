//! The messages of a hot restart.
//!
//! They are encoded with postcard, which is positional: the order of variants and fields and the types of fields are the wire
//! format. Names may change; any other change needs a new [`PROTOCOL_VERSION`].

use serde::{Deserialize, Serialize};

/// Version of the wire format. The predecessor does not send its state to a successor with another version.
pub const PROTOCOL_VERSION: u32 = 2;

/// The number that the sender uses for a backend. Numbers differ between processes, ids do not.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct BackendNumber {
    /// The backend's number in the sender's process.
    pub number: u32,
    /// The backend's id in the endpoint list.
    pub id: String,
}

/// A message from either process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The first message of a successor, by which the predecessor checks the protocol version.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u32,
    },
    /// The successor is ready to serve and requests the state. Carries the read end of its admission journal.
    RequestState,
    /// The state of the predecessor, which admits no more requests once it has sent this message. Carries the predecessor's
    /// listening socket.
    State {
        /// The policy's snapshot in its own encoding.
        policy_snapshot: Vec<u8>,
        /// The backends on the predecessor's endpoint list.
        backends: Vec<BackendNumber>,
        /// Names of the plans, by number.
        plans: Vec<String>,
        /// Names of the request classes, by number.
        classes: Vec<String>,
        /// Ids of the backends that operators have ejected.
        ejected: Vec<String>,
    },
    /// A client connection without an unanswered request. Carries its socket.
    ClientConnection {
        /// The bytes of an incomplete request that the predecessor has read already; empty if there are none.
        partial_request: Vec<u8>,
    },
    /// An operator ejects a backend or ends its ejection.
    SetEjected {
        /// Number that the reply repeats, so that the sender can match it to this message.
        call: u64,
        /// The backend's id in the endpoint list.
        id: String,
        /// True to eject the backend, false to end its ejection.
        ejected: bool,
        /// Whether the sender has the backend in its endpoint list or among its ejected backends. If not, the receiver applies
        /// the change only if the receiver itself has the backend.
        known_to_sender: bool,
    },
    /// The reply to [`Message::SetEjected`].
    EjectionApplied {
        /// The `call` of the [`Message::SetEjected`] that this message replies to.
        call: u64,
        /// Whether the receiver has applied the change.
        applied: bool,
    },
}
