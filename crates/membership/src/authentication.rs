//! Message authentication: a keyed hash (BLAKE3 in keyed mode) over the payload.
//!
//! The first key of a [`Keyring`] signs and all keys verify. To rotate the key, append the new key on every instance, then
//! move it to the front, then remove the old key. In each step every instance accepts the messages of all others.
//!
//! The authentication code does not prevent replays. SWIM's incarnation numbers and the versions of broadcasts make replays
//! harmless, with one exception: replayed messages of a member that has left make it appear alive until it is suspected
//! and declared dead again.

use crate::MAX_DATAGRAM_BYTES;

/// The number of bytes that [`Keyring::sign`] adds to a payload.
pub const OVERHEAD_BYTES: usize = 1 + TAG_BYTES;
/// The maximum number of keys in a keyring: a key rotation needs the old and the new one.
pub const MAX_KEYS: usize = 2;
/// The length in bytes of a message authentication code, which is a BLAKE3 hash.
const TAG_BYTES: usize = 32;
/// The length of a key in bytes.
const KEY_BYTES: usize = 32;
/// The first byte of each message, which identifies its format.
const FORMAT_VERSION: u8 = 1;

/// The shared secret keys of a cluster.
#[derive(Clone)]
pub struct Keyring {
    /// The keys, at least one. The first key signs.
    keys: Vec<[u8; KEY_BYTES]>,
}

impl std::fmt::Debug for Keyring {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Only the number of keys is written, because secrets must not reach the log.
        write!(f, "Keyring({})", self.keys.len())
    }
}

/// The reason why a key file is unusable. The error text never contains a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyringError {
    /// All lines are empty or comments.
    #[error("it holds no key: a line of 64 hexadecimal digits is needed")]
    Empty,
    /// The file contains more keys than a key rotation needs ([`MAX_KEYS`]).
    #[error("the key file holds more than {MAX_KEYS} keys")]
    TooManyKeys,
    /// A line that is neither empty nor a comment has another length or other characters.
    #[error("line {line} is not 64 hexadecimal digits")]
    MalformedLine {
        /// The line number, counted from 1.
        line: usize,
    },
}

impl Keyring {
    /// Parses a key file with one key per line, 64 hexadecimal digits each. Empty lines and lines that start with `#` are
    /// ignored.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyringError`] if there is no key, too many keys or a malformed line.
    pub fn parse(text: &str) -> Result<Self, KeyringError> {
        let mut keys = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            keys.push(parse_key(line).ok_or(KeyringError::MalformedLine { line: index + 1 })?);
        }
        match keys.len() {
            0 => Err(KeyringError::Empty),
            1..=MAX_KEYS => Ok(Self { keys }),
            _ => Err(KeyringError::TooManyKeys),
        }
    }

    /// Returns a message with the format version, the authentication code and the payload.
    pub fn sign(&self, payload: &[u8]) -> Vec<u8> {
        let mut message = Vec::with_capacity(OVERHEAD_BYTES + payload.len());
        message.push(FORMAT_VERSION);
        message.extend_from_slice(blake3::keyed_hash(&self.keys[0], payload).as_bytes());
        message.extend_from_slice(payload);
        message
    }

    /// Returns the payload of a datagram signed with one of the keys. Returns `None` for any other datagram and for one
    /// larger than [`MAX_DATAGRAM_BYTES`].
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return None;
        }
        self.verify_frame(datagram)
    }

    /// Returns the payload of a message of any length, if it was signed with one of the keys. The function is for messages on
    /// a stream, whose reader limits their length.
    pub fn verify_frame<'a>(&self, frame: &'a [u8]) -> Option<&'a [u8]> {
        let (&version, rest) = frame.split_first()?;
        let (tag, payload) = rest.split_first_chunk::<TAG_BYTES>()?;
        let tag = blake3::Hash::from_bytes(*tag);
        // `blake3::Hash` compares in constant time.
        let signed_by = |key: &[u8; KEY_BYTES]| blake3::keyed_hash(key, payload) == tag;
        (version == FORMAT_VERSION && self.keys.iter().any(signed_by)).then_some(payload)
    }
}

fn parse_key(line: &str) -> Option<[u8; KEY_BYTES]> {
    let digits = line.as_bytes();
    if digits.len() != 2 * KEY_BYTES {
        return None;
    }
    let mut key = [0; KEY_BYTES];
    for (byte, pair) in key.iter_mut().zip(digits.chunks(2)) {
        *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
    }
    Some(key)
}

fn hex_digit(digit: u8) -> Option<u8> {
    char::from(digit).to_digit(16).map(|value| value as u8)
}

#[cfg(test)]
mod tests;
