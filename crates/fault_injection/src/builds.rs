//! Which build of the gatekeeper runs where: one for all, or two that have to work together.

use std::path::{Path, PathBuf};

/// The builds of a site. Both files of a pair must have the same name, by which [`fault_harness::process`] knows its processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Builds {
    /// One build for all gatekeepers.
    One(PathBuf),
    /// Gatekeepers with an even number run the first build, the others the second.
    ByGatekeeper(PathBuf, PathBuf),
    /// Each gatekeeper's first start runs the first build, its next start the second, and so on in turn.
    Alternating(PathBuf, PathBuf),
}

impl Builds {
    /// The build of a gatekeeper, numbered from 0, for a start, numbered from 1.
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
