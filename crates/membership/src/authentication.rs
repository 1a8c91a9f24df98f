//! Message authentication: a keyed hash (BLAKE3 in keyed mode) over the payload.
//!
//! The first key of a [`Keyring`] signs; all of them verify. To rotate the key, every instance gets the new key behind the
//! old one, then in front of it, then the old one is removed: at each step all instances understand each other.
//!
//! The code shows that somebody with the key made the message, not when: a recorded message can be replayed. SWIM's
//! incarnations and the versions of broadcasts make replays harmless, except for a member that has left for good and whose
//! last messages are replayed: it is suspected and declared dead again.

use crate::MAX_DATAGRAM_BYTES;

/// Bytes that [`Keyring::sign`] adds to a payload.
pub const OVERHEAD_BYTES: usize = 1 + TAG_BYTES;
/// The largest number of keys that may be valid at once.
pub const MAX_KEYS: usize = 2;
/// The length of a message authentication code.
const TAG_BYTES: usize = 32;
/// The length of a key.
const KEY_BYTES: usize = 32;
/// The first byte of each message: the version of its format.
const FORMAT_VERSION: u8 = 1;

/// The keys of a cluster.
#[derive(Clone)]
pub struct Keyring {
    /// Never empty. The first signs.
    keys: Vec<[u8; KEY_BYTES]>,
}

impl std::fmt::Debug for Keyring {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Keys are never shown.
        write!(f, "Keyring({})", self.keys.len())
    }
}

/// Why a key file cannot be used. The texts never contain a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyringError {
    /// It holds no key.
    #[error("it holds no key: a line of 64 hexadecimal digits is needed")]
    Empty,
    /// It holds more than [`MAX_KEYS`].
    #[error("it holds more than {MAX_KEYS} keys")]
    TooManyKeys,
    /// A line is not 64 hexadecimal digits.
    #[error("line {line} is not 64 hexadecimal digits")]
    MalformedLine {
        /// The line's number, from 1.
        line: usize,
    },
}

impl Keyring {
    /// Parses a key file: one key a line, 64 hexadecimal digits each; empty lines and those that begin with `#` are
    /// ignored.
    ///
    /// # Errors
    ///
    /// See [`KeyringError`].
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

    /// The message that carries this payload.
    pub fn sign(&self, payload: &[u8]) -> Vec<u8> {
        let mut message = Vec::with_capacity(OVERHEAD_BYTES + payload.len());
        message.push(FORMAT_VERSION);
        message.extend_from_slice(blake3::keyed_hash(&self.keys[0], payload).as_bytes());
        message.extend_from_slice(payload);
        message
    }

    /// The payload of a datagram, if one of the keys signed it and it is within the size limit.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return None;
        }
        self.verify_frame(datagram)
    }

    /// The payload of a message of any length, if one of the keys signed it: for streams, whose reader limits the length.
    pub fn verify_frame<'a>(&self, frame: &'a [u8]) -> Option<&'a [u8]> {
        let (&version, rest) = frame.split_first()?;
        let (tag, payload) = rest.split_first_chunk::<TAG_BYTES>()?;
        let tag = blake3::Hash::from_bytes(*tag);
        // Hashes compare in constant time.
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
