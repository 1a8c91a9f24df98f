//! Temporary directories for the files of tests.

use std::path::{Path, PathBuf};

/// A temporary directory for the files of a test. It is removed with its files when this is dropped.
#[derive(Debug)]
pub struct TestDirectory(PathBuf);

impl TestDirectory {
    /// Creates a directory for the test of this name. The name must be unique among the tests of a process.
    ///
    /// # Panics
    ///
    /// The directory cannot be created.
    pub fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("snowfield-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the test directory is created");
        Self(path)
    }

    /// Path of the directory, which exists until this value is dropped.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file in the directory and returns its path.
    ///
    /// # Panics
    ///
    /// The file cannot be written, or its path is not UTF-8.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file is written");
        path.to_str().expect("the path is UTF-8").to_owned()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
