//! The backend side: a pool of connections to each backend, and the attempts on them.
//!
//! A connection carries one attempt at a time, since answers come in order and closing is the only way to cancel. Each connection
//! has one coroutine that always reads, so an idle connection that its backend closes leaves the pool at once.
//!
//! | module | holds |
//! | --- | --- |
//! | `protocol` | the trait of the wire protocols: [`Protocol`] |
//! | `http`, `resp` | the two protocols |
//! | `pools` | [`BackendPools`], the entry points |
//! | `pools_state` | the state behind its lock: which connection an attempt has, or whether a new one is made |
//! | `pool` | the pool of one backend: endpoint and idle connections |
//! | `pooled_connection` | a connection and the attempt on it |
//! | `attempt` | the start of an attempt, on an idle connection or a new one, and its cancellation |
//! | `read_answers` | the reading side of a connection |
//! | `streaming` | an answer that is passed on while it arrives |

mod attempt;
mod http;
mod pool;
mod pooled_connection;
mod pools;
mod pools_state;
mod protocol;
mod read_answers;
mod resp;
mod streaming;

pub use crate::http::HttpProtocol;
pub use crate::pool::BackendEndpoint;
pub use crate::pools::{BackendPools, Limits};
pub use crate::protocol::{Parsed, Protocol, StreamedAnswer};
pub use crate::resp::RespProtocol;
