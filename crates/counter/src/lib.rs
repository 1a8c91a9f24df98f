//! The client of the quota counter: pipelined `TALLY` calls in RESP2, whose answers come in order.
//!
//! The exchange times calls out by itself. An answer that comes later still takes its turn here, so that it is never matched to
//! another call.

mod client;
mod connection;
mod error;
mod lane;
mod protocol;

pub use client::CounterClient;
pub use connection::CallEnded;
