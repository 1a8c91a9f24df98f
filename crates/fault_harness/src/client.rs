//! A client's connection to a gatekeeper.

use crate::connections::is_temporary;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// The result of waiting for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply<T> {
    /// One complete reply has arrived.
    Complete(T),
    /// More bytes than one complete reply have arrived.
    Excess,
    /// The gatekeeper has closed or reset the connection.
    Closed,
    /// No complete reply has arrived by the deadline.
    Late,
}

impl<T> Reply<T> {
    /// Converts the value of a complete reply. The other results stay as they are.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Reply<U> {
        match self {
            Self::Complete(reply) => Reply::Complete(convert(reply)),
            Self::Excess => Reply::Excess,
            Self::Closed => Reply::Closed,
            Self::Late => Reply::Late,
        }
    }
}

/// A client's connection, with one request at a time.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
    /// Bytes received since the current request was sent.
    received: Vec<u8>,
}

impl ClientConnection {
    /// Connects to a gatekeeper.
    ///
    /// # Errors
    ///
    /// The connection is refused or is not established within `timeout`.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, received: Vec::new() })
    }

    /// The local address of the connection.
    ///
    /// # Errors
    ///
    /// The operating system does not report the address.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.stream.local_addr()
    }

    /// Sends a request, or the start of one. Discards what has been received for earlier requests.
    ///
    /// # Errors
    ///
    /// The connection has been closed or reset.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.received.clear();
        self.stream.write_all(bytes)
    }

    /// Waits until `deadline` for a reply. `parse` takes a complete reply from the front of the received bytes, or returns none.
    /// May be called again after [`Reply::Late`].
    pub fn read_reply<T>(&mut self, deadline: Instant, parse: impl Fn(&mut &[u8]) -> Option<T>) -> Reply<T> {
        loop {
            let mut unread = self.received.as_slice();
            if let Some(reply) = parse(&mut unread) {
                return if unread.is_empty() { Reply::Complete(reply) } else { Reply::Excess };
            }
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                return Reply::Late;
            }
            if self.stream.set_read_timeout(Some(time_left)).is_err() {
                return Reply::Closed;
            }
            let mut bytes = [0; 1024];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Reply::Closed,
                Ok(count) => self.received.extend_from_slice(&bytes[..count]),
                Err(error) if is_temporary(&error) => {}
                Err(_) => return Reply::Closed,
            }
        }
    }

    /// Closes both directions of the connection, like a client that stops waiting.
    pub fn close(&self) {
        // The shutdown fails only if the connection has already ended.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
