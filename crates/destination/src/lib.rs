//! The connections to backends: a pool for each backend, and the attempts on its connections.
//!
//! A connection carries one attempt at a time, since answers arrive in order and an attempt can only be cancelled by closing its
//! connection. Each connection has one coroutine that always reads, so an idle connection that its backend closes leaves the pool
//! at once.
//!
//! | module | holds |
//! | --- | --- |
//! | `protocol` | the trait of the wire protocols: [`Protocol`] |
//! | `http`, `resp` | the protocols HTTP/1.1 and RESP2 |
//! | `pools` | [`BackendPools`], the public interface of the pools |
//! | `pools_state` | the state behind its lock: which connection an attempt has, or whether a new one is made |
//! | `pool` | the pool of one backend: endpoint and idle connections |
//! | `pooled_connection` | a connection and the attempt on it |
//! | `attempt` | the start of an attempt, on an idle connection or a new one, and its cancellation |
//! | `read_answers` | reading the answers on a connection |
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
