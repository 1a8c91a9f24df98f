//! Leases on the latest version: until when a gatekeeper may act on what it knows, and when the leader may put a proposed version
//! in force.

mod client;
mod table;

pub use client::{AddressedRequest, LeaseClient};
pub use table::LeaseTable;

use serde::{Deserialize, Serialize};

/// How far the rollout of a version is.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum RolloutPhase {
    /// Proposed: enforced together with the version before it, taking the stricter value of each setting.
    #[default]
    Proposed,
    /// In force: enforced alone.
    InForce,
}

/// The latest version and its rollout phase. Ordered by the progress of the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LatestVersion {
    /// The version's number.
    pub number: u64,
    /// Its phase.
    pub phase: RolloutPhase,
}
