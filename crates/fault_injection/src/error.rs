//! Errors of the harness itself. A rule that a gatekeeper breaks is not an error but a [`Violation`](crate::checkers::Violation).

use crate::schedule::MAX_NODES;
use std::io;
use std::path::{Path, PathBuf};

/// Why the harness could not read its input or run a schedule.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A history that is replayed or checked has a damaged line.
    #[error("history line {line}: {source}")]
    HistoryLine {
        /// Number of the damaged line, from 1.
        line: usize,
        /// Why the line does not parse.
        #[source]
        source: serde_json::Error,
    },
    /// The text is not a schedule in TOML.
    #[error(transparent)]
    ScheduleSyntax(#[from] toml::de::Error),
    /// A schedule asks for too few or too many gatekeepers or backends.
    #[error("programs and loans must be 1 to {MAX_NODES}, not {gatekeepers} and {backends}")]
    SiteSize {
        /// Requested number of gatekeepers.
        gatekeepers: usize,
        /// Requested number of backends.
        backends: usize,
    },
    /// The sum of `at_ms` and `for_ms` of a fault is greater than `length_ms` of the schedule.
    #[error("the fault that begins at {start_ms} ms ends after length_ms")]
    FaultEndsLate {
        /// When the fault begins, in ms from the start of the schedule.
        start_ms: u64,
    },
    /// An operation of the file system failed, usually because the path does not exist or is not writable.
    #[error("cannot read, write or move {}: {source}", path.display())]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// Why the operation failed.
        #[source]
        source: io::Error,
    },
    /// The executable of a gatekeeper or of one of its commands is missing or cannot be run.
    #[error("cannot start {}: {source}", build.display())]
    Start {
        /// Path of the executable that did not start.
        build: PathBuf,
        /// Why the executable did not start.
        #[source]
        source: io::Error,
    },
    /// No free network or port is available, or an address cannot be listened on.
    #[error("{0}")]
    Address(#[from] io::Error),
    /// The command exited with a code other than 0 before the site started.
    #[error("cannot create the replicated configuration: {output}")]
    ConfigurationNotCreated {
        /// Standard output and standard error of the command.
        output: String,
    },
    /// A gatekeeper did not log in time that it serves, after the start of the site.
    #[error("{gatekeeper} does not serve")]
    NotServing {
        /// Name of the gatekeeper, such as `m0`.
        gatekeeper: String,
    },
    /// A gatekeeper did not log in time that it serves, after a restart by a fault.
    #[error("{gatekeeper} does not serve again")]
    NotServingAgain {
        /// Name of the gatekeeper, such as `m0`.
        gatekeeper: String,
    },
    /// The successor did not report in time that it is ready; its predecessor still serves.
    #[error("the new program of an upgrade is not ready")]
    SuccessorNotReady,
    /// The successor does not serve once its predecessor has shut down.
    #[error("the new program of an upgrade does not serve")]
    SuccessorNotServing,
    /// Takes the place of the fault's result; the message of the panic is on standard error.
    #[error("the thread that injects a fault panicked")]
    FaultPanicked,
    /// Consul's endpoint list did not reach, in time, the gatekeeper that has to write the cached list for the torn-write test.
    #[error("the first gatekeeper received no endpoint list")]
    NoEndpointList,
    /// The gatekeeper received an endpoint list, and the file of the cached list did not appear or could not be read.
    #[error("the first gatekeeper wrote no cached endpoint list")]
    NoCachedList,
}

impl Error {
    /// Returns a function that adds the path to an error of the file system.
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self::File { path, source }
    }

    /// Returns a function that adds the build to an error of its start.
    pub(crate) fn start(build: &Path) -> impl FnOnce(io::Error) -> Self {
        let build = build.to_owned();
        move |source| Self::Start { build, source }
    }
}

#[cfg(test)]
mod tests;
