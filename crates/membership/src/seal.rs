//! What makes a datagram one of ours: a keyed hash (BLAKE3 in keyed mode) over what it holds.
//!
//! The first key seals; all open. To change the key, every instance gets the new one behind the old, then in front of it,
//! then the old one is taken away: at each step all instances understand each other.
//!
//! The hash shows that somebody with the key made the datagram, not when: a datagram that was recorded can be sent again.
//! SWIM's incarnations and the versions of news make old ones harmless, but for a member that is gone for good and whose
//! last words are repeated: it is suspected and given up again.

/// Bytes that sealing adds.
pub const OVERHEAD: usize = 1 + TAG;
const TAG: usize = 32;
/// The first byte of each datagram: the version of this form.
const VERSION: u8 = 1;
/// The most keys that may be valid at once.
pub const MOST_KEYS: usize = 2;

/// The keys of a cluster.
#[derive(Clone)]
pub struct Keys {
    keys: Vec<[u8; 32]>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Keys are never shown.
        write!(f, "Keys({})", self.keys.len())
    }
}

/// Why a key file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// It holds none.
    None,
    /// It holds more than [`MOST_KEYS`].
    TooMany,
    /// This line, from 1, is not 64 hexadecimal digits.
    Line(usize),
}

impl std::fmt::Display for KeyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::None => write!(f, "it holds no key: a line of 64 hexadecimal digits is needed"),
            Self::TooMany => write!(f, "it holds more than {MOST_KEYS} keys"),
            Self::Line(line) => write!(f, "line {line} is not 64 hexadecimal digits"),
        }
    }
}

impl std::error::Error for KeyError {}

impl Keys {
    /// Reads a key file: a key a line, 64 hexadecimal digits each; empty lines and those that begin with `#` count not.
    ///
    /// # Errors
    ///
    /// The file cannot be used; the text never holds a key.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let mut keys = Vec::new();
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let bytes = line.as_bytes();
            let digit = |b: u8| char::from(b).to_digit(16).map(|d| d as u8);
            let mut key = [0; 32];
            if bytes.len() != 64 {
                return Err(KeyError::Line(i + 1));
            }
            for (byte, pair) in key.iter_mut().zip(bytes.chunks(2)) {
                let (Some(high), Some(low)) = (digit(pair[0]), digit(pair[1])) else {
                    return Err(KeyError::Line(i + 1));
                };
                *byte = high << 4 | low;
            }
            keys.push(key);
        }
        match keys.len() {
            0 => Err(KeyError::None),
            1..=MOST_KEYS => Ok(Self { keys }),
            _ => Err(KeyError::TooMany),
        }
    }

    /// The datagram that holds these bytes.
    pub fn seal(&self, data: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(OVERHEAD + data.len());
        out.push(VERSION);
        out.extend_from_slice(blake3::keyed_hash(&self.keys[0], data).as_bytes());
        out.extend_from_slice(data);
        out
    }

    /// What a datagram holds, where one of the keys has sealed it.
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        (bytes.len() <= super::LARGEST).then(|| self.open_any(bytes))?
    }

    /// What bytes of any length hold, where one of the keys has sealed them: for streams, whose reader bounds them.
    pub fn open_any<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let (&version, rest) = bytes.split_first()?;
        let (tag, data) = rest.split_first_chunk::<TAG>()?;
        // Hashes compare in constant time.
        let right = |key: &[u8; 32]| blake3::keyed_hash(key, data) == blake3::Hash::from_bytes(*tag);
        (version == VERSION && self.keys.iter().any(right)).then_some(data)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(text: &str) -> Keys {
        Keys::parse(text).expect("keys")
    }

    #[test]
    fn keys_change_without_a_gap() {
        let (a, b) = ("aa".repeat(32), "bb".repeat(32));
        let [old, both, turned, new] =
            [a.clone(), format!("{a}\n{b}\n"), format!("# new first\n{b}\n\n{a}"), b].map(|t| keys(&t));
        // Neighbouring steps understand each other in both directions.
        for (one, other) in [(&old, &both), (&both, &turned), (&turned, &new)] {
            assert_eq!(other.open(&one.seal(b"x")), Some(&b"x"[..]));
            assert_eq!(one.open(&other.seal(b"x")), Some(&b"x"[..]));
        }
        assert_eq!(new.open(&old.seal(b"x")), None, "the old key is worth nothing any more");
    }

    #[test]
    fn files_that_cannot_be_used_are_refused_without_showing_a_key() {
        let key = "0f".repeat(32);
        assert_eq!(Keys::parse("# nothing\n").map(|_| ()), Err(KeyError::None));
        assert_eq!(Keys::parse(&format!("{key}\n{key}\n{key}")).map(|_| ()), Err(KeyError::TooMany));
        assert_eq!(Keys::parse(&format!("{key}\nxyz")).map(|_| ()), Err(KeyError::Line(2)));
        assert_eq!(Keys::parse(&key.replace('f', "ü")).map(|_| ()), Err(KeyError::Line(1)));
        assert_eq!(format!("{:?}", keys(&key)), "Keys(1)");
    }

    #[test]
    fn one_changed_byte_is_enough() {
        let keys = keys(&"0f".repeat(32));
        let sealed = keys.seal(b"hello");
        assert_eq!(keys.open(&sealed), Some(&b"hello"[..]));
        for at in 0..sealed.len() {
            let mut other = sealed.clone();
            other[at] ^= 1;
            assert_eq!(keys.open(&other), None, "byte {at}");
            assert_eq!(keys.open(&sealed[..at]), None);
        }
        assert_eq!(keys.open(&keys.seal(&[0; super::super::LARGEST])), None, "too large");
    }
}
