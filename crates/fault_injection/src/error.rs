//! Errors of the harness itself. A rule that a gatekeeper breaks is not an error but a [`Violation`](crate::checkers::Violation).

use crate::schedule::MAX_NODES;
use std::io;
use std::path::{Path, PathBuf};

/// An error of the harness.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A line of a history file holds no record.
    #[error("line {line}: {source}")]
    HistoryLine {
        /// The line's number, from 1.
        line: usize,
        /// What is wrong with it.
        #[source]
        source: serde_json::Error,
    },
    /// A file is no schedule.
    #[error(transparent)]
    ScheduleSyntax(#[from] toml::de::Error),
    /// Too few or too many gatekeepers or backends.
    #[error("programs and loans must be 1 to {MAX_NODES}, not {gatekeepers} and {backends}")]
    SiteSize {
        /// Gatekeepers asked for.
        gatekeepers: usize,
        /// Backends asked for.
        backends: usize,
    },
    /// A fault ends after its schedule does.
    #[error("a fault of {start_ms} ms ends after length_ms")]
    FaultEndsLate {
        /// When it begins.
        start_ms: u64,
    },
    /// A file or folder cannot be read, written or moved.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// A build of the gatekeeper cannot be run.
    #[error("{}: {source}", build.display())]
    Start {
        /// The build.
        build: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// An address or a port cannot be had.
    #[error("{0}")]
    Address(#[from] io::Error),
    /// The replicated configuration could not be created; this is what the command printed.
    #[error("{output}")]
    ConfigurationNotCreated {
        /// What the command printed.
        output: String,
    },
    /// A gatekeeper that was started at the begin does not serve.
    #[error("{gatekeeper} does not serve")]
    NotServing {
        /// Which.
        gatekeeper: String,
    },
    /// A gatekeeper that was started again does not serve.
    #[error("{gatekeeper} does not serve again")]
    NotServingAgain {
        /// Which.
        gatekeeper: String,
    },
    /// The successor of an upgrade is not ready in time.
    #[error("the new program of an upgrade is not ready")]
    SuccessorNotReady,
    /// The successor of an upgrade does not serve once its predecessor has shut down.
    #[error("the new program of an upgrade does not serve")]
    SuccessorNotServing,
    /// The thread that injects a fault has panicked.
    #[error("a fault panicked")]
    FaultPanicked,
    /// The gatekeeper that is to write the cached endpoint list never received one.
    #[error("the first program never had a list")]
    NoEndpointList,
    /// The gatekeeper that is to write the cached endpoint list wrote none.
    #[error("the first program kept no list")]
    NoCachedList,
}

impl Error {
    /// Adds the path to an error of the file system.
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self::File { path, source }
    }

    /// Adds the build to an error of its start.
    pub(crate) fn start(build: &Path) -> impl FnOnce(io::Error) -> Self {
        let build = build.to_owned();
        move |source| Self::Start { build, source }
    }
}

#[cfg(test)]
mod tests;
