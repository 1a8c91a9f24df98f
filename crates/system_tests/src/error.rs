//! Errors that abort a system test.

use std::io;
use std::path::{Path, PathBuf};

/// An error that aborts a system test.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fault-injection harness fails.
    #[error(transparent)]
    Harness(#[from] fault_injection::Error),
    /// A schedule could not be run.
    #[error("{schedule}: {source}")]
    Schedule {
        /// Its name.
        schedule: String,
        /// Why.
        #[source]
        source: fault_injection::Error,
    },
    /// A file holds no schedule.
    #[error("{}: {source}", path.display())]
    ScheduleFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        #[source]
        source: fault_injection::Error,
    },
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
}

impl Error {
    /// Adds the path to an error of the file system.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self::File { path, source }
    }
}

#[cfg(test)]
mod tests;
