//! Leases on the latest version. A lease limits how long a gatekeeper may act on the latest version that it has received. The
//! leader puts a proposed version in force only once every holder of a valid lease knows that version.

mod client;
mod table;

pub use client::{AddressedRequest, LeaseClient};
pub use table::LeaseTable;
