//! Leases on the latest version: until when a gatekeeper may act on what it knows, and when the leader may put a proposed version
//! in force.

mod client;
mod table;

pub use client::{AddressedRequest, LeaseClient};
pub use table::LeaseTable;

use crate::rollout_phase::RolloutPhase;

/// The latest version and its rollout phase. Ordered by the progress of the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LatestVersion {
    /// The version's number.
    pub number: u64,
    /// Its phase.
    pub phase: RolloutPhase,
}
