//! One end of the connection between predecessor and successor: sends and receives frames with file descriptors over a Unix
//! socket.
//!
//! A frame is the length of its body (four bytes, little-endian) and the body, a [`Message`] in postcard's encoding.

use crate::{Error, Message, UpgradeSocket};
use rustix::io::retry_on_intr;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Maximum bytes of a frame's body. A snapshot with 20,000 tenants takes 5 MB.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// Bytes of a frame's header, which holds the length of its body.
const HEADER_BYTES: usize = 4;
/// Timeout for progress within a frame. A peer that makes none for this long has failed.
const FRAME_TIMEOUT: Duration = Duration::from_secs(3);

/// The connection between the predecessor and the successor of a hot restart.
#[derive(Debug)]
pub struct Peer {
    stream: UnixStream,
    /// Lock that is held while a frame is written, so that frames of several threads do not interleave.
    write_lock: Mutex<()>,
}

impl Peer {
    pub(crate) fn new(stream: UnixStream) -> Self {
        Self { stream, write_lock: Mutex::new(()) }
    }

    /// Connects to the process whose [`UpgradeSocket`] is in this directory.
    ///
    /// # Errors
    ///
    /// Fails if no process listens there.
    pub fn connect(directory: &Path) -> io::Result<Self> {
        UnixStream::connect(UpgradeSocket::path(directory)).map(Self::new)
    }

    /// Creates two connected peers, for tests.
    ///
    /// # Errors
    ///
    /// Fails as `socketpair(2)` does.
    pub fn pair() -> io::Result<(Self, Self)> {
        let (first, second) = UnixStream::pair()?;
        Ok((Self::new(first), Self::new(second)))
    }

    /// Sends a message, with a file descriptor if the message carries one.
    ///
    /// # Errors
    ///
    /// Fails if the peer has disconnected or reads nothing for 3 s.
    pub fn send(&self, message: &Message, descriptor: Option<BorrowedFd<'_>>) -> Result<(), Error> {
        let body = postcard::to_stdvec(message).map_err(Error::Encode)?;
        let header = (body.len() as u32).to_le_bytes();
        let _write_guard = self.write_lock.lock().unwrap_or_else(PoisonError::into_inner);
        self.stream.set_write_timeout(Some(FRAME_TIMEOUT))?;
        let sent = self.send_header(&header, descriptor)?;
        (&self.stream).write_all(&header[sent..])?;
        (&self.stream).write_all(&body)?;
        Ok(())
    }

    /// Sends the first bytes of a header with the descriptor, and returns how many bytes were sent.
    fn send_header(&self, header: &[u8], descriptor: Option<BorrowedFd<'_>>) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let descriptors: Vec<BorrowedFd<'_>> = descriptor.into_iter().collect();
        if !descriptors.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(&descriptors));
        }
        let sent = retry_on_intr(|| {
            rustix::net::sendmsg(&self.stream, &[IoSlice::new(header)], &mut control, SendFlags::NOSIGNAL)
        })?;
        Ok(sent)
    }

    /// Waits for the next message, for at most `timeout` if one is given. Only one thread at a time may call this.
    ///
    /// # Errors
    ///
    /// Fails if the peer has disconnected, sends nothing in time, or sends a malformed frame.
    pub fn receive(&self, timeout: Option<Duration>) -> Result<(Message, Option<OwnedFd>), Error> {
        self.stream.set_read_timeout(timeout)?;
        let (header, descriptor) = self.receive_header()?;
        let length = u32::from_le_bytes(header) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(Error::FrameTooLong { length });
        }
        self.stream.set_read_timeout(Some(FRAME_TIMEOUT))?;
        let mut body = Vec::new();
        (&self.stream).take(length as u64).read_to_end(&mut body)?;
        if body.len() < length {
            return Err(Error::Io(ErrorKind::UnexpectedEof.into()));
        }
        let message = postcard::from_bytes(&body).map_err(Error::Decode)?;
        Ok((message, descriptor))
    }

    /// Receives the header of the next frame and the descriptor that it carries.
    fn receive_header(&self) -> io::Result<([u8; HEADER_BYTES], Option<OwnedFd>)> {
        let (mut header, mut received, mut descriptor) = ([0; HEADER_BYTES], 0, None);
        while received < header.len() {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut buffers = [IoSliceMut::new(&mut header[received..])];
            let part = retry_on_intr(|| {
                rustix::net::recvmsg(&self.stream, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)
            })?;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                    descriptor = descriptors.last().or(descriptor);
                }
            }
            if part.bytes == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            received += part.bytes;
        }
        Ok((header, descriptor))
    }

    /// Closes the connection. A thread that waits in [`Peer::receive`] gets an error.
    pub fn close(&self) {
        // `shutdown` fails only if the peer has disconnected already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
