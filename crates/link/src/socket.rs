//! Sockets that are registered with `may`'s event loop.

use may::io::{CoIo, WaitIo, WaitIoWaker};
use may::net::TcpStream;
use std::io;
use std::net::{self, Shutdown};
use std::os::fd::AsRawFd;

/// An accepted or inherited socket, registered with `may`'s event loop.
#[derive(Debug)]
pub(crate) struct RegisteredSocket<T: AsRawFd>(Option<CoIo<T>>);

impl<T: AsRawFd> RegisteredSocket<T> {
    pub(crate) fn new(socket: T) -> io::Result<Self> {
        CoIo::new(socket).map(|io| Self(Some(io))).map_err(|e| io::Error::other(e.to_string()))
    }

    pub(crate) fn io(&self) -> &CoIo<T> {
        self.0.as_ref().expect("only drop takes the socket")
    }
}

impl<T: AsRawFd> Drop for RegisteredSocket<T> {
    /// Deregisters the socket before the socket is closed. `CoIo` on its own closes the socket first. If another process also
    /// holds the socket, epoll would then keep reporting the socket's events with a pointer to freed memory.
    fn drop(&mut self) {
        drop(self.0.take().map(CoIo::into_inner));
    }
}

/// The TCP stream of a connection.
#[derive(Debug)]
pub(crate) enum Stream {
    /// A connection that this process opened.
    Outbound(TcpStream),
    /// A connection that a listener accepted, or that another process handed over.
    Inbound(RegisteredSocket<net::TcpStream>),
}

impl Stream {
    pub(crate) fn inner(&self) -> &net::TcpStream {
        match self {
            Self::Outbound(stream) => stream.inner(),
            Self::Inbound(stream) => stream.io().inner(),
        }
    }

    /// Waits for an event, and returns the epoll flags of all events since the last call.
    pub(crate) fn wait_for_events(&self) -> usize {
        match self {
            Self::Outbound(stream) => stream.wait_io(),
            Self::Inbound(stream) => stream.io().wait_io(),
        }
    }

    /// Returns the epoll flags of the events since the last call, without waiting.
    #[allow(deprecated)] // `reset_io` is the only call that polls without waiting.
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
