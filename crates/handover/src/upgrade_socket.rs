//! The Unix socket through which a successor connects to the serving process.

use crate::Peer;
use std::io;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "snowfield.sock";

/// The listening Unix socket, in a directory that predecessor and successor share.
#[derive(Debug)]
pub struct UpgradeSocket {
    listener: UnixListener,
}

impl UpgradeSocket {
    /// Returns the socket's path in this directory.
    pub fn path(directory: &Path) -> PathBuf {
        directory.join(FILE_NAME)
    }

    /// Starts listening, and atomically replaces the socket of an earlier process.
    ///
    /// # Errors
    ///
    /// Fails if the path is unusable or the system has no Unix sockets.
    pub fn bind(directory: &Path) -> io::Result<Self> {
        // The socket is bound under a temporary name and renamed, so that a successor finds a listener at any time.
        let temporary = directory.join(format!("{FILE_NAME}.{}", std::process::id()));
        // An earlier process with the same process id may have left the file behind.
        let _ = std::fs::remove_file(&temporary);
        let listener = UnixListener::bind(&temporary)?;
        std::fs::rename(&temporary, Self::path(directory))?;
        Ok(Self { listener })
    }

    /// Waits for a successor to connect.
    ///
    /// # Errors
    ///
    /// Fails as `accept(2)` does.
    pub fn accept(&self) -> io::Result<Peer> {
        self.listener.accept().map(|(stream, _)| Peer::new(stream))
    }
}
