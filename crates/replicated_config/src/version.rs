//! Versions of the configuration and the progress of their rollout.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a configuration version. The first version has number 1, and each accepted proposal gets the next number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// Stands for "no version" in messages, and precedes every version.
    pub const NONE: Self = Self(0);

    /// Returns the number of a version, or [`ConfigVersion::NONE`] if there is no version.
    pub fn number_of(version: Option<&Version>) -> Self {
        version.map_or(Self::NONE, |version| version.number)
    }

    /// Returns the number of the version that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the number of the version before this one, or [`ConfigVersion::NONE`] for the first version.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A numbered text of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Version {
    /// The version's number, counted from 1.
    pub number: ConfigVersion,
    /// The user who proposed the version.
    pub proposed_by: String,
    /// The text of the configuration, of at most [`MAX_TEXT_BYTES`](crate::MAX_TEXT_BYTES).
    pub text: String,
}

/// The progress of a version's rollout.
///
/// The order of the variants is part of the encoding. A later variant is further in the rollout.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum RolloutPhase {
    /// Gatekeepers enforce this version together with the one before it, taking the stricter value of each setting.
    #[default]
    Proposed,
    /// Gatekeepers enforce this version alone.
    InForce,
}

/// The latest version and its rollout phase. A greater value is further in the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LatestVersion {
    /// Number of the latest version; [`ConfigVersion::NONE`] before the first version is proposed.
    pub number: ConfigVersion,
    /// Whether the version is proposed or in force.
    pub phase: RolloutPhase,
}
