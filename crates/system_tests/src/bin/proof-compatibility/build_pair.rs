//! The old and the new build, and how they are assigned to gatekeepers.

use fault_injection::builds::Builds;
use std::path::{Path, PathBuf};
use system_tests::release_build;

/// The paths of the old and the new build.
pub(crate) struct BuildPair {
    old: PathBuf,
    new: PathBuf,
}

impl BuildPair {
    /// Returns the builds that the arguments name; without a second argument the new build is the release build. Returns `None`
    /// if there are not one or two arguments, or if the builds are not existing files with the same file name.
    pub(crate) fn from_arguments(arguments: &[String]) -> Option<Self> {
        let (old, new) = match arguments {
            [old] => (PathBuf::from(old), release_build()),
            [old, new] => (PathBuf::from(old), PathBuf::from(new)),
            _ => return None,
        };
        let is_build = |path: &Path| path.is_file() && path.file_name() == old.file_name();
        (is_build(&old) && is_build(&new)).then(|| Self { old: old.clone(), new })
    }

    /// Returns builds that alternate: the first start of a gatekeeper runs the old build, and each further start the build that
    /// did not run before.
    pub(crate) fn alternating(&self) -> Builds {
        Builds::Alternating(self.old.clone(), self.new.clone())
    }

    /// Returns builds by gatekeeper: those with an even number run the old build, the others the new one.
    pub(crate) fn by_gatekeeper(&self) -> Builds {
        Builds::ByGatekeeper(self.old.clone(), self.new.clone())
    }
}
