//! Why a connection was not made: for a reason of this machine's, or of the other side's.

use std::io;
use std::time::Duration;

/// The system refuses what it cannot even try at once; an answer of the network takes longer.
const WITHOUT_THE_NETWORK: Duration = Duration::from_millis(1);

/// Why a connection was not made.
#[derive(Debug)]
pub enum ConnectError {
    /// This machine could not try: it lacks a descriptor, a port, memory or a route.
    Local(io::Error),
    /// The other side refused, or did not answer in time.
    Remote(io::Error),
}

impl ConnectError {
    /// The error of a call that took so long.
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
            // A route that is missing here, or a machine there that does not answer.
            Some(libc::EHOSTUNREACH | libc::ENETUNREACH | libc::ETIMEDOUT) => elapsed < WITHOUT_THE_NETWORK,
            _ => false,
        };
        if is_local { Self::Local(error) } else { Self::Remote(error) }
    }

    /// Whether this machine could not try.
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
