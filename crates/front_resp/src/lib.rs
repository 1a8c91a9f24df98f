//! The front for the platform's RESP2 protocol: client connections on which clients pipeline commands.
//!
//! It reads a command, submits a request to the exchange and writes the final answer in the order of the commands. No decision is
//! made here. A command that cannot be used gets an error in its turn; one that cannot be delimited any more also ends the
//! connection, once all that came before it has its answer.
//!
//! | module | holds |
//! | --- | --- |
//! | `front` | [`Front`]: accepting, closing, hot restart |
//! | `housekeeping` | which connections are closed: silent, stuck, or idle when room is needed |
//! | `client` | one client's connection |
//! | `answer_queue` | its commands in order, and their answers |
//! | `reader` | reading commands until the connection ends |
//! | `dispatch` | what a command requests, and writing answers |
//! | `rules` | which requests are valid |
//! | `memory` | bytes that are held for all clients together |

mod answer_queue;
mod client;
mod dispatch;
mod front;
mod housekeeping;
mod limits;
mod memory;
mod reader;
mod rules;

pub use front::{Front, HandOverConnection, RespExchange};
pub use rules::{ClassRule, InvalidRequest, PlanRule, RequestRules};
