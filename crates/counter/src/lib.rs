//! Client of the quota counter: pipelined `TALLY` calls in RESP2, whose answers arrive in order.
//!
//! The exchange applies the timeouts of calls. This client still matches an answer that arrives after the timeout to the
//! call that it belongs to, so that no answer is matched to a later call.

mod call_result;
mod client;
mod connection;
mod error;
mod protocol;
mod shard;

pub use call_result::{CallResult, OnCallEnded};
pub use client::CounterClient;
