//! Leases on the latest version: until when a gatekeeper may act on what it knows, and when the leader may put a proposed version
//! in force.

mod client;
mod table;

pub use client::{AddressedRequest, LeaseClient};
pub use table::LeaseTable;
