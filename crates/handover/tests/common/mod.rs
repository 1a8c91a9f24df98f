//! Fixtures of the tests with real sockets.

use handover::{Message, UpgradeSocket};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Maximum time until a message must arrive.
pub const RECEIVE_TIMEOUT: Option<Duration> = Some(Duration::from_secs(20));

/// A directory for the sockets of one test, removed at its end.
pub struct SocketDirectory(PathBuf);

impl SocketDirectory {
    pub fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("snowfield-handover-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Sends bytes to a peer and disconnects. Returns the messages that the peer received before it failed.
    pub fn messages_from(&self, bytes: &[u8]) -> Vec<Message> {
        let socket = UpgradeSocket::bind(&self.0).expect("a socket");
        let mut sender =
            UnixStream::connect(UpgradeSocket::path(&self.0)).expect("the upgrade socket listens");
        let peer = socket.accept().expect("a connection");
        sender.write_all(bytes).expect("the bytes are sent");
        drop(sender);
        std::iter::from_fn(|| peer.receive(RECEIVE_TIMEOUT).ok()).map(|(message, _)| message).collect()
    }
}

impl Drop for SocketDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
