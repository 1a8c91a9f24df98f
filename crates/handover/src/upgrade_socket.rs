//! The Unix socket at which the process that serves can be found.

use crate::Peer;
use std::io;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "snowfield.sock";

/// The listening socket in a directory that predecessor and successor share.
#[derive(Debug)]
pub struct UpgradeSocket {
    listener: UnixListener,
}

impl UpgradeSocket {
    /// The socket's path in this directory.
    pub fn path(directory: &Path) -> PathBuf {
        directory.join(FILE_NAME)
    }

    /// Starts listening, and replaces the socket of the process that listened before.
    ///
    /// # Errors
    ///
    /// The system has no Unix sockets, or the path cannot be used.
    pub fn bind(directory: &Path) -> io::Result<Self> {
        // Bound under another name and renamed, so that a successor finds a listener at any time.
        let temporary = directory.join(format!("{FILE_NAME}.{}", std::process::id()));
        // An earlier process with the same process id may have left the file behind.
        let _ = std::fs::remove_file(&temporary);
        let listener = UnixListener::bind(&temporary)?;
        std::fs::rename(&temporary, Self::path(directory))?;
        Ok(Self { listener })
    }

    /// Waits for a successor.
    ///
    /// # Errors
    ///
    /// As `accept(2)`.
    pub fn accept(&self) -> io::Result<Peer> {
        self.listener.accept().map(|(stream, _)| Peer::new(stream))
    }
}
