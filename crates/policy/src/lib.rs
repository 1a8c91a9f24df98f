//! The decisions of a gatekeeper that holds tenants to their quotas before shared backends, as a state machine without I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod control;
pub mod interface;
pub mod p2;
mod state;
mod store;
mod trend;

pub use control::{Carried, Gateway, Members};
