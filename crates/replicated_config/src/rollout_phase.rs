//! The rollout of a version.

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
