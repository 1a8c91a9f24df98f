//! What the two programs say.

use serde::{Deserialize, Serialize};

/// The form of all messages. Programs of different forms do not take over from each other.
pub const VERSION: u32 = 2;

/// A message of either side. What the module knows travels as bytes of its own form.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The caller's form of messages.
    Hello {
        /// [`VERSION`] of the caller.
        version: u32,
    },
    /// The caller can serve now, and asks for all there is.
    Take,
    /// All there is; the listener comes with it.
    State {
        /// What the module knows.
        module: Vec<u8>,
        /// Number and id of each loan server.
        destinations: Vec<(u32, String)>,
        /// Names of the plans, by number.
        plans: Vec<String>,
        /// Names of the classes, by number.
        classes: Vec<String>,
        /// Ids of loan servers that are out by hand.
        held: Vec<String>,
    },
    /// A client's connection between two requests, which comes with it.
    Client {
        /// What was read of a request that is not whole.
        begun: Vec<u8>,
    },
    /// An operator takes a loan server out, or calls it back.
    Hold {
        /// Comes back with the answer.
        call: u64,
        /// The loan server.
        id: String,
        /// It is out.
        held: bool,
        /// The sender has it on its list, or out; else the receiver is to look.
        known: bool,
    },
    /// The answer to [`Message::Hold`].
    Held {
        /// The call.
        call: u64,
        /// Whether it was done.
        done: bool,
    },
}
