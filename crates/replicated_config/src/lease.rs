//! Leases on the latest version. A lease limits how long a gatekeeper may act on the version that it knows, and tells the leader
//! when it may put a proposed version in force.

mod client;
mod table;

pub use client::{AddressedRequest, LeaseClient};
pub use table::LeaseTable;
