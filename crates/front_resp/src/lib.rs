//! The client side of the platform's RESP2 protocol: connections on which clients pipeline commands.
//!
//! The front parses a command, submits its request to the exchange, and writes the final answers in the order of the commands. It
//! makes no admission decision itself. It answers an invalid command with an error, in the order of the commands. If the end of a
//! command cannot be determined, the front answers all earlier commands, then the error, and closes the connection.
//!
//! | module | holds |
//! | --- | --- |
//! | `front` | [`Front`]: accepting connections, graceful drain, hot restart |
//! | `connection_table` | the open connections and their limit |
//! | `eviction` | freeing connections at their limit, and the memory of large commands |
//! | `sweep` | timeouts that no socket event triggers |
//! | `client` | one client's connection |
//! | `client_state` | the activity of a connection: idle, in use, overdue, ending |
//! | `incomplete_command` | a partially received command |
//! | `answer_queue` | pipelined commands in order, and their answers |
//! | `reader` | reading commands until the connection ends |
//! | `closing` | how a connection ends: drain, hand-over, error |
//! | `dispatch` | answering commands, and submitting requests to the exchange |
//! | `writer` | writing answers in order |
//! | `open_requests` | ids of the requests in flight |
//! | `rules` | validation of requests |
//! | `memory` | byte budgets that all clients share |
//! | `limits` | limits and timeouts of a connection |

mod answer_queue;
mod client;
mod client_state;
mod closing;
mod connection_table;
mod dispatch;
mod eviction;
mod front;
mod incomplete_command;
mod limits;
mod memory;
mod open_requests;
mod reader;
mod rules;
mod sweep;
mod writer;

pub use front::{Front, HandOverConnection, RespExchange};
pub use rules::{ClassRule, InvalidRequest, PlanRule, RequestRules};
