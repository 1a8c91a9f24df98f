//! Reads and writes messages on a stream. A frame is the length of an authenticated message (four bytes, little-endian), followed
//! by that message.

use crate::error::Error;
use membership::authentication::{Keyring, OVERHEAD_BYTES};
use replicated_config::{MAX_MESSAGE_BYTES, Message};
use std::io::{self, Read, Write};
use std::sync::{Arc, Mutex, PoisonError};

/// Size of the length field in front of an authenticated message, in bytes.
const LENGTH_BYTES: usize = 4;
/// Maximum size of an authenticated message in bytes.
const MAX_FRAME_BYTES: usize = MAX_MESSAGE_BYTES + OVERHEAD_BYTES;

/// The node's keyring, which can be replaced while connections use it.
#[derive(Clone)]
pub(crate) struct SharedKeys(Arc<Mutex<Keyring>>);

impl SharedKeys {
    pub(crate) fn new(keys: Keyring) -> Self {
        Self(Arc::new(Mutex::new(keys)))
    }

    pub(crate) fn replace_keyring(&self, keys: Keyring) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = keys;
    }

    fn current_keyring(&self) -> Keyring {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Authenticates and writes a message.
pub(crate) fn write_message(stream: &mut impl Write, message: &Message, keys: &SharedKeys) -> io::Result<()> {
    let authenticated = keys.current_keyring().sign(&message.encode());
    let length = (authenticated.len() as u32).to_le_bytes();
    stream.write_all(&[&length[..], &authenticated].concat())
}

/// Reads and verifies a message.
pub(crate) fn read_message(stream: &mut impl Read, keys: &SharedKeys) -> Result<Message, Error> {
    let frame = read_frame(stream)?;
    let keys = keys.current_keyring();
    let encoded = keys.verify_frame(&frame).ok_or(Error::Unauthenticated)?;
    Message::decode(encoded).map_err(Error::Message)
}

/// Reads the next frame. Returns its message, which is not verified yet, with the authentication.
fn read_frame(stream: &mut impl Read) -> Result<Vec<u8>, Error> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length)?;
    let bytes = u32::from_le_bytes(length) as usize;
    if bytes > MAX_FRAME_BYTES {
        return Err(Error::FrameTooLarge { bytes, max: MAX_FRAME_BYTES });
    }
    // The buffer grows with the received bytes, not with the announced length, which is not authenticated yet.
    let mut data = Vec::new();
    stream.take(bytes as u64).read_to_end(&mut data)?;
    if data.len() < bytes {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(data)
}
