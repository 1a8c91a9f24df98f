//! How a program that serves and the one that takes its place speak: frames over a Unix socket in a folder that both have,
//! some with a descriptor. What the frames mean for a gatekeeper is the binary's matter.
//!
//! A frame is a kind, a length and a message. Whatever arrives is bounded and checked; a peer that sends anything else is
//! hung up on.

mod ledger;
mod message;

pub use ledger::{LAST_ENTRIES, Ledger, LetIn, follow};
pub use message::{Message, VERSION};

use rustix::io::retry_on_intr;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Duration;

/// The most bytes of one frame. What a module knows of 20,000 customers takes 5 MB.
pub const LARGEST_FRAME: usize = 32 * 1024 * 1024;
/// A peer that takes or brings nothing for this long in the middle of a frame has stopped.
const PATIENCE: Duration = Duration::from_secs(3);

/// The socket in a folder at which the program that serves is called.
#[derive(Debug)]
pub struct Place {
    listener: UnixListener,
}

impl Place {
    /// The path in this folder.
    pub fn path(folder: &Path) -> PathBuf {
        folder.join("snowfield.sock")
    }

    /// Listens there from now on, in the place of whoever did before.
    ///
    /// # Errors
    ///
    /// The system has no such sockets, or the path cannot be used.
    pub fn take(folder: &Path) -> io::Result<Self> {
        // Bound beside it and moved over it, so that there is always somebody to call.
        let beside = folder.join(format!("snowfield.sock.{}", std::process::id()));
        // Left by a program of the same number.
        let _ = std::fs::remove_file(&beside);
        let listener = UnixListener::bind(&beside)?;
        std::fs::rename(&beside, Self::path(folder))?;
        Ok(Self { listener })
    }

    /// Waits for a caller.
    ///
    /// # Errors
    ///
    /// Passes on what the system says.
    pub fn accept(&self) -> io::Result<Peer> {
        self.listener.accept().map(|(stream, _)| Peer::new(stream))
    }
}

/// The other program.
#[derive(Debug)]
pub struct Peer {
    stream: UnixStream,
    /// Held while a frame goes out.
    sends: Mutex<()>,
}

impl Peer {
    fn new(stream: UnixStream) -> Self {
        Self { stream, sends: Mutex::new(()) }
    }

    /// Calls the program that serves in this folder.
    ///
    /// # Errors
    ///
    /// There is none.
    pub fn call(folder: &Path) -> io::Result<Self> {
        UnixStream::connect(Place::path(folder)).map(Self::new)
    }

    /// Two peers that speak to each other, for tests.
    ///
    /// # Errors
    ///
    /// Passes on what the system says.
    pub fn pair() -> io::Result<(Self, Self)> {
        let (one, two) = UnixStream::pair()?;
        Ok((Self::new(one), Self::new(two)))
    }

    /// Sends a message, with a descriptor where it takes one.
    ///
    /// # Errors
    ///
    /// The peer has gone, or takes nothing.
    pub fn send(&self, message: &Message, descriptor: Option<BorrowedFd<'_>>) -> io::Result<()> {
        let body = postcard::to_stdvec(message).map_err(io::Error::other)?;
        let head = (body.len() as u32).to_le_bytes();
        let _sending = self.sends.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        self.stream.set_write_timeout(Some(PATIENCE))?;
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let descriptors: Vec<BorrowedFd<'_>> = descriptor.into_iter().collect();
        if !descriptors.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(&descriptors));
        }
        let sent = retry_on_intr(|| {
            rustix::net::sendmsg(&self.stream, &[IoSlice::new(&head)], &mut control, SendFlags::NOSIGNAL)
        })?;
        (&self.stream).write_all(&head[sent..])?;
        (&self.stream).write_all(&body)
    }

    /// Waits for the next message, for so long at the most where a time is given. Called from one thread at a time.
    ///
    /// # Errors
    ///
    /// The peer has gone, says nothing in time, or sends what is no frame.
    pub fn receive(&self, within: Option<Duration>) -> io::Result<(Message, Option<OwnedFd>)> {
        self.stream.set_read_timeout(within)?;
        let (mut head, mut got, mut descriptor) = ([0; 4], 0, None);
        while got < head.len() {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut into = [IoSliceMut::new(&mut head[got..])];
            let received = retry_on_intr(|| {
                rustix::net::recvmsg(&self.stream, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC)
            })?;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                    descriptor = descriptors.last().or(descriptor);
                }
            }
            if received.bytes == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            got += received.bytes;
        }
        let length = u32::from_le_bytes(head) as usize;
        if length > LARGEST_FRAME {
            return Err(io::Error::new(ErrorKind::InvalidData, "a frame is too long"));
        }
        self.stream.set_read_timeout(Some(PATIENCE))?;
        let mut body = Vec::new();
        (&self.stream).take(length as u64).read_to_end(&mut body)?;
        if body.len() < length {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let message = postcard::from_bytes(&body);
        let message = message.map_err(|e| io::Error::new(ErrorKind::InvalidData, e.to_string()))?;
        Ok((message, descriptor))
    }

    /// Hangs up; whoever waits for a message hears of it.
    pub fn close(&self) {
        // Where the peer has gone there is nothing left to end.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
