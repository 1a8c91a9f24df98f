//! The two builds.

use fault_injection::builds::Builds;
use std::path::{Path, PathBuf};
use system_tests::release_build;

/// The two builds.
pub(crate) struct BuildPair {
    old: PathBuf,
    new: PathBuf,
}

impl BuildPair {
    /// Returns the builds that the arguments name, or `None` if these are not one or two files of the same name.
    pub(crate) fn from_arguments(arguments: &[String]) -> Option<Self> {
        let (old, new) = match arguments {
            [old] => (PathBuf::from(old), release_build()),
            [old, new] => (PathBuf::from(old), PathBuf::from(new)),
            _ => return None,
        };
        let is_build = |path: &Path| path.is_file() && path.file_name() == old.file_name();
        (is_build(&old) && is_build(&new)).then(|| Self { old: old.clone(), new })
    }

    /// Each start of a gatekeeper runs the other build than its last one. The first runs the old build.
    pub(crate) fn alternating(&self) -> Builds {
        Builds::Alternating(self.old.clone(), self.new.clone())
    }

    /// Gatekeepers with an even number run the old build, the others the new one.
    pub(crate) fn by_gatekeeper(&self) -> Builds {
        Builds::ByGatekeeper(self.old.clone(), self.new.clone())
    }
}
