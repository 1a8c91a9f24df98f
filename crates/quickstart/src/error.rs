//! Why the quickstart ends early.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// Why the quickstart ends early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The signal handlers cannot be set.
    #[error("cannot handle signals: {0}")]
    Signals(#[source] io::Error),
    /// A backend cannot listen.
    #[error("cannot start a backend: {0}")]
    Backend(#[source] io::Error),
    /// No port of loopback is free for the gatekeeper.
    #[error("no free port on loopback from {from}")]
    NoFreePort {
        /// The first port that was tried.
        from: u16,
    },
    /// The configuration does not contain the address that is to be replaced.
    #[error("examples/quickstart/snowfield.toml does not contain {address}")]
    NoPlaceholder {
        /// The address.
        address: String,
    },
    /// A file or directory cannot be written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or directory.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The gatekeeper cannot be started.
    #[error("cannot start {}: {source}; build it with `make build`", path.display())]
    Start {
        /// The program.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The gatekeeper ended by itself.
    #[error("the gatekeeper ended with {status}; its log:\n{log}")]
    GatekeeperEnded {
        /// How.
        status: ExitStatus,
        /// Its log.
        log: String,
    },
    /// The gatekeeper did not end after SIGTERM.
    #[error("the gatekeeper did not end within {timeout:?}; its log:\n{log}")]
    ShutdownTimedOut {
        /// How long it had.
        timeout: Duration,
        /// Its log.
        log: String,
    },
    /// The gatekeeper cannot be observed.
    #[error("cannot wait for the gatekeeper: {0}")]
    Wait(#[source] io::Error),
    /// No good answer came in time.
    #[error("no answer with status 200 came; the last result was {last}; the gatekeeper's log:\n{log}")]
    NoAnswer {
        /// The last result.
        last: String,
        /// The gatekeeper's log.
        log: String,
    },
}
