//! Client of the quota counter: pipelined `TALLY` calls in RESP2, whose answers arrive in order.
//!
//! The exchange applies the timeouts of calls. An answer that arrives after the timeout is still matched to its call here, and
//! so never to a later one.

mod call_result;
mod client;
mod connection;
mod error;
mod protocol;
mod shard;

pub use call_result::{CallResult, OnCallEnded};
pub use client::CounterClient;
