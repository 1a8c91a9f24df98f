//! Errors of the quickstart.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// An error that ends the quickstart.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The signal handlers cannot be set.
    #[error("cannot handle signals: {0}")]
    Signals(#[source] io::Error),
    /// A backend cannot listen.
    #[error("cannot start a backend: {0}")]
    Backend(#[source] io::Error),
    /// No port of loopback is free for the gatekeeper.
    #[error("no free port on loopback from {first_port}")]
    NoFreePort {
        /// Number of the first port that was tried.
        first_port: u16,
    },
    /// The configuration of the example does not contain an address that is to be replaced.
    #[error("examples/quickstart/snowfield.toml does not contain {address}")]
    NoPlaceholder {
        /// The address that the configuration should contain.
        address: String,
    },
    /// A file or directory cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    File {
        /// The path of the file or directory.
        path: PathBuf,
        /// The error that the operating system reported.
        #[source]
        source: io::Error,
    },
    /// The gatekeeper cannot be started.
    #[error("cannot start {}: {source}; build it with `make build`", path.display())]
    Start {
        /// The path of the gatekeeper's program.
        path: PathBuf,
        /// The error that the operating system reported.
        #[source]
        source: io::Error,
    },
    /// The gatekeeper ended before it was stopped, or its shutdown failed.
    #[error("the gatekeeper ended with {status}; its log:\n{log}")]
    GatekeeperEnded {
        /// The exit status of the process, or the signal that ended it.
        status: ExitStatus,
        /// What the gatekeeper has logged.
        log: String,
    },
    /// The gatekeeper did not end after SIGTERM.
    #[error("the gatekeeper did not end within {timeout:?}; its log:\n{log}")]
    ShutdownTimedOut {
        /// The time that the gatekeeper had for its shutdown.
        timeout: Duration,
        /// What the gatekeeper has logged.
        log: String,
    },
    /// The state of the gatekeeper's process, or the path of its program, cannot be determined.
    #[error("cannot wait for the gatekeeper: {0}")]
    Wait(#[source] io::Error),
    /// No answer with status 200 came in time.
    #[error("no answer with status 200 came; the last result was {last}; the gatekeeper's log:\n{log}")]
    NoAnswer {
        /// The answer to the last request, or the error that it failed with.
        last: String,
        /// What the gatekeeper has logged.
        log: String,
    },
}
