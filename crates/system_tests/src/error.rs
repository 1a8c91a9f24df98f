//! Errors that abort a system test.

use std::io;
use std::path::{Path, PathBuf};

/// An error that aborts a system test.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fault-injection harness failed.
    #[error(transparent)]
    Harness(#[from] fault_injection::Error),
    /// The harness could not run a schedule.
    #[error("cannot run schedule {schedule}: {source}")]
    Schedule {
        /// The name of the schedule.
        schedule: String,
        /// The error of the harness.
        #[source]
        source: fault_injection::Error,
    },
    /// A file does not contain a valid schedule.
    #[error("{} is not a valid schedule: {source}", path.display())]
    ScheduleFile {
        /// The path of the file.
        path: PathBuf,
        /// The error of the parser.
        #[source]
        source: fault_injection::Error,
    },
    /// A file or folder cannot be read or written.
    #[error("cannot read or write {}: {source}", path.display())]
    File {
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of the file system.
        #[source]
        source: io::Error,
    },
}

impl Error {
    /// Returns a function for `map_err` that adds this path to an I/O error.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self::File { path, source }
    }
}

#[cfg(test)]
mod tests;
