//! Directories for the files of a test.

use std::path::{Path, PathBuf};

/// A directory for the files of a test. It is removed when this is dropped.
#[derive(Debug)]
pub struct TestDirectory(PathBuf);

impl TestDirectory {
    /// Creates a directory that no other test of this process has.
    ///
    /// # Panics
    ///
    /// It cannot be created.
    pub fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("snowfield-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder for files");
        Self(path)
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file and returns its path.
    ///
    /// # Panics
    ///
    /// It cannot be written, or its path is not UTF-8.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file is written");
        path.to_str().expect("a path in UTF-8").to_owned()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
