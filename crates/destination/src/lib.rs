//! The backend side: a pool of connections to each backend and the attempts on them.
//!
//! A connection carries one attempt at a time, since answers come in order and closing is the only way to cancel. Each connection
//! has one coroutine that always reads, so an idle one that its backend closes leaves the pool at once.
//!
//! | module | holds |
//! | --- | --- |
//! | `protocol` | what a wire protocol has to tell: [`Protocol`] |
//! | `http`, `resp` | the two protocols |
//! | `pools` | [`BackendPools`]: endpoints, limits, operator ejections |
//! | `checkout` | which connection an attempt gets, or whether a new one is made |
//! | `attempt` | how an attempt begins, on an idle connection or a new one |
//! | `pooled_connection` | a connection and the attempt on it |
//! | `read_answers` | reading answers until a connection ends |
//! | `streaming` | an answer that is passed on while it arrives |

mod attempt;
mod checkout;
mod http;
mod pooled_connection;
mod pools;
mod protocol;
mod read_answers;
mod resp;
mod streaming;

pub use crate::http::HttpProtocol;
pub use crate::pools::{BackendEndpoint, BackendPools, Limits};
pub use crate::protocol::{Parsed, Protocol, StreamedAnswer};
pub use crate::resp::RespProtocol;
