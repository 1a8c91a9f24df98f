//! The client side of the platform's RESP2 protocol: connections on which clients pipeline commands.
//!
//! The front parses a command, submits its request to the exchange, and writes the final answers in the order of the commands. It
//! makes no admission decision itself. An invalid command is answered with an error in its turn. After a command that cannot be
//! delimited, the front answers everything that came before it and closes the connection.
//!
//! | module | holds |
//! | --- | --- |
//! | `front` | [`Front`]: accepting connections, graceful drain, hot restart |
//! | `connection_table` | the open connections and their limit |
//! | `eviction` | connections that are evicted at the limit or for memory |
//! | `sweep` | time-outs that need no event |
//! | `client` | one client's connection |
//! | `client_state` | its activity: idle, in use, late, ending |
//! | `incomplete_command` | a command of which a part has arrived |
//! | `answer_queue` | pipelined commands in order, and their answers |
//! | `reader` | reading commands until the connection ends |
//! | `closing` | the ends of a connection: drain, hand-over, error |
//! | `dispatch` | what a command requests, and its submission |
//! | `writer` | writing answers in order |
//! | `open_requests` | ids of the requests in flight |
//! | `rules` | validation of requests |
//! | `memory` | byte budgets of all clients together |
//! | `limits` | limits and time-outs of a connection |

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
