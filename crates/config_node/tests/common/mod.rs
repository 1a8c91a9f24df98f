//! Test directories and keys that several test programs use.

use membership::authentication::Keyring;
use std::path::{Path, PathBuf};

/// A directory that is removed with all its files at the end of a test.
pub struct TestDirectory(PathBuf);

impl TestDirectory {
    /// Creates a directory whose name is unique to this test and process.
    pub fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("config-node-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the directory can be created");
        Self(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the keys that all nodes and clients share.
pub fn keys() -> Keyring {
    Keyring::parse(&"ab".repeat(32)).expect("the key is valid")
}
