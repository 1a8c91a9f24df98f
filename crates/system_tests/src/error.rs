//! Errors that abort a system test.

use std::io;
use std::path::{Path, PathBuf};

/// An error that aborts a system test.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An error that the harness reports outside of a schedule that has a name.
    #[error(transparent)]
    Harness(#[from] fault_injection::Error),
    /// The site of the schedule could not be started, or one of its files could not be read or written.
    #[error("cannot run schedule {schedule}: {source}")]
    Schedule {
        /// Name of the schedule that did not run.
        schedule: String,
        /// The error with which the harness ended the schedule.
        #[source]
        source: fault_injection::Error,
    },
    /// The text of the file is not TOML of a schedule, or the schedule is outside of the harness's limits.
    #[error("{} is not a valid schedule: {source}", path.display())]
    ScheduleFile {
        /// Path of the schedule file.
        path: PathBuf,
        /// Why the schedule was rejected.
        #[source]
        source: fault_injection::Error,
    },
    /// An operation of the file system failed, usually because the path does not exist or is not writable.
    #[error("cannot read or write {}: {source}", path.display())]
    File {
        /// The path of the file or folder.
        path: PathBuf,
        /// Why the operation failed.
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
