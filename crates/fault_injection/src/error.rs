//! Errors of the harness itself. A rule that a gatekeeper breaks is not an error but a [`Violation`](crate::checkers::Violation).

use crate::schedule::MAX_NODES;
use std::io;
use std::path::{Path, PathBuf};

/// Why the harness could not read its input or run a schedule.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A line of a history file is not a valid record.
    #[error("line {line}: {source}")]
    HistoryLine {
        /// Line number, counted from 1.
        line: usize,
        /// The parse error.
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
    /// A fault ends after the end of its schedule.
    #[error("the fault that begins at {start_ms} ms ends after length_ms")]
    FaultEndsLate {
        /// When the fault begins, in ms from the start of the schedule.
        start_ms: u64,
    },
    /// A file or folder cannot be read, written or moved.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The error of the file system.
        #[source]
        source: io::Error,
    },
    /// A gatekeeper or one of its commands cannot be started.
    #[error("{}: {source}", build.display())]
    Start {
        /// The executable.
        build: PathBuf,
        /// The error of the start.
        #[source]
        source: io::Error,
    },
    /// No free network or port is available, or an address cannot be listened on.
    #[error("{0}")]
    Address(#[from] io::Error),
    /// The command that creates the replicated configuration failed.
    #[error("cannot create the replicated configuration: {output}")]
    ConfigurationNotCreated {
        /// Standard output and standard error of the command.
        output: String,
    },
    /// A gatekeeper does not serve in time after the start of the site.
    #[error("{gatekeeper} does not serve")]
    NotServing {
        /// Name of the gatekeeper.
        gatekeeper: String,
    },
    /// A gatekeeper does not serve in time after a restart.
    #[error("{gatekeeper} does not serve again")]
    NotServingAgain {
        /// Name of the gatekeeper.
        gatekeeper: String,
    },
    /// The successor of an upgrade does not become ready in time.
    #[error("the new program of an upgrade is not ready")]
    SuccessorNotReady,
    /// The successor of an upgrade does not serve once its predecessor has shut down.
    #[error("the new program of an upgrade does not serve")]
    SuccessorNotServing,
    /// The thread that injects a fault panicked.
    #[error("the thread that injects a fault panicked")]
    FaultPanicked,
    /// The gatekeeper that has to write the cached endpoint list received no list.
    #[error("the first gatekeeper received no endpoint list")]
    NoEndpointList,
    /// The gatekeeper that has to write the cached endpoint list wrote no file.
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
