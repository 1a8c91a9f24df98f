//! Assigns builds to gatekeepers: one build for all, or two builds that must be compatible with each other.

use std::path::{Path, PathBuf};

/// The builds that the gatekeepers of a site run. Both files of a pair must have the same file name, since
/// [`fault_harness::process`] recognises its processes by it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Builds {
    /// One build for all gatekeepers.
    One(PathBuf),
    /// Gatekeepers with an even number run the first build, the others the second.
    ByGatekeeper(PathBuf, PathBuf),
    /// Each gatekeeper alternates with each start: the first build at its first start, the second at its next one, and so on.
    Alternating(PathBuf, PathBuf),
}

impl Builds {
    /// The build that a gatekeeper (numbered from 0) runs at a start (numbered from 1).
    pub fn for_start(&self, gatekeeper: usize, start: u8) -> &Path {
        match self {
            Self::One(build) => build,
            Self::ByGatekeeper(even, odd) => {
                if gatekeeper.is_multiple_of(2) {
                    even
                } else {
                    odd
                }
            }
            Self::Alternating(odd, even) => {
                if start.is_multiple_of(2) {
                    even
                } else {
                    odd
                }
            }
        }
    }
}

impl From<&Path> for Builds {
    fn from(build: &Path) -> Self {
        Self::One(build.to_owned())
    }
}

impl From<&PathBuf> for Builds {
    fn from(build: &PathBuf) -> Self {
        Self::One(build.clone())
    }
}

#[cfg(test)]
mod tests;
