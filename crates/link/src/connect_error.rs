//! Errors of connecting, classified by whether this machine or the remote side is the cause.

use std::io;
use std::time::Duration;

/// Minimum duration of a network round trip. An error that comes sooner was raised by the local kernel.
const MIN_NETWORK_ROUND_TRIP: Duration = Duration::from_millis(1);

/// Why a connect failed.
#[derive(Debug)]
pub enum ConnectError {
    /// This machine could not attempt the connect: it lacks a file descriptor, an ephemeral port, memory or a route.
    Local(io::Error),
    /// The remote side refused the connection or did not answer in time.
    Remote(io::Error),
}

impl ConnectError {
    /// Classifies the error of a connect that failed after `elapsed`.
    pub(crate) fn new(error: io::Error, elapsed: Duration) -> Self {
        let is_local = match error.raw_os_error() {
            Some(
                libc::EADDRNOTAVAIL
                | libc::EAGAIN
                | libc::EINTR
                | libc::EMFILE
                | libc::ENETDOWN
                | libc::ENFILE
                | libc::ENOBUFS
                | libc::ENOMEM,
            ) => true,
            // The kernel reports these errors in two cases: this machine has no route, or the remote machine does not answer.
            Some(libc::EHOSTUNREACH | libc::ENETUNREACH | libc::ETIMEDOUT) => {
                elapsed < MIN_NETWORK_ROUND_TRIP
            }
            _ => false,
        };
        if is_local { Self::Local(error) } else { Self::Remote(error) }
    }

    /// Whether the cause is on this machine, so that the failure says nothing about the remote side.
    pub fn is_local(&self) -> bool {
        matches!(self, Self::Local(_))
    }
}

impl From<ConnectError> for io::Error {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Local(error) | ConnectError::Remote(error) => error,
        }
    }
}
