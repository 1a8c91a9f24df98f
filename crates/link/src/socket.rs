//! Sockets that `may` watches.

use may::io::{CoIo, WaitIo, WaitIoWaker};
use may::net::TcpStream;
use std::io;
use std::net::{self, Shutdown};
use std::os::fd::AsRawFd;

/// A socket that was accepted or inherited, watched by `may`.
#[derive(Debug)]
pub(crate) struct Watched<T: AsRawFd>(Option<CoIo<T>>);

impl<T: AsRawFd> Watched<T> {
    pub(crate) fn new(socket: T) -> io::Result<Self> {
        CoIo::new(socket).map(|io| Self(Some(io))).map_err(|e| io::Error::other(e.to_string()))
    }

    pub(crate) fn io(&self) -> &CoIo<T> {
        self.0.as_ref().expect("taken only when dropped")
    }
}

impl<T: AsRawFd> Drop for Watched<T> {
    /// `CoIo` closes its socket before it ends the watch. Where another process holds the socket too, the system would go on
    /// reporting events with a pointer to freed memory; taken out of it, the socket is closed last.
    fn drop(&mut self) {
        drop(self.0.take().map(CoIo::into_inner));
    }
}

/// The stream of a connection.
#[derive(Debug)]
pub(crate) enum Stream {
    /// Connected by this process.
    Outbound(TcpStream),
    /// Accepted or inherited.
    Inbound(Watched<net::TcpStream>),
}

impl Stream {
    pub(crate) fn inner(&self) -> &net::TcpStream {
        match self {
            Self::Outbound(stream) => stream.inner(),
            Self::Inbound(stream) => stream.io().inner(),
        }
    }

    /// Waits for an event; returns the system's flags of all events since the last call.
    pub(crate) fn wait_for_events(&self) -> usize {
        match self {
            Self::Outbound(stream) => stream.wait_io(),
            Self::Inbound(stream) => stream.io().wait_io(),
        }
    }

    /// The flags of events since the last call, without waiting.
    #[allow(deprecated)] // It says that nobody needs to call it, but no other call polls without waiting.
    pub(crate) fn poll_events(&self) -> usize {
        match self {
            Self::Outbound(stream) => stream.reset_io(),
            Self::Inbound(stream) => stream.io().reset_io(),
        }
    }

    pub(crate) fn waker(&self) -> WaitIoWaker {
        match self {
            Self::Outbound(stream) => stream.waker(),
            Self::Inbound(stream) => stream.io().waker(),
        }
    }

    pub(crate) fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        self.inner().shutdown(how)
    }
}
