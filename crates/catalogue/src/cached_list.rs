//! The last good list on disk: one line with version, time and checksum, then JSON. What is altered or cut is refused.

use crate::health_response::Instance;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// In front of the first line.
const NAME: &str = "snowfield-list";
/// The version of the form.
const VERSION: &str = "1";
/// The most bytes of a file.
pub const MAX_FILE_BYTES: usize = 64 * 1024 * 1024;

/// What is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CachedList {
    /// When Consul last confirmed it, in Unix milliseconds.
    #[serde(rename = "at")]
    pub confirmed_at: u64,
    /// By service, the instances that take work.
    pub services: BTreeMap<String, Vec<Instance>>,
}

/// Why a file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CachedListError {
    /// It is no list of ours.
    NotAListFile,
    /// It has a version that this program does not know.
    UnknownVersion(String),
    /// It was cut or altered.
    Corrupt,
    /// It is older than what is allowed, in seconds.
    TooOld(u64),
    /// It says that it is from the future, by so many seconds: a clock is wrong.
    FromTheFuture(u64),
}

impl fmt::Display for CachedListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAListFile => write!(f, "it is no list of snowfield's"),
            Self::UnknownVersion(version) => write!(f, "its version is {version:?}, and {VERSION} is known"),
            Self::Corrupt => write!(f, "it was cut short or altered"),
            Self::TooOld(age) => write!(f, "it is {age} s old, more than allowed"),
            Self::FromTheFuture(by) => write!(f, "it is from {by} s in the future"),
        }
    }
}

impl std::error::Error for CachedListError {}

impl CachedList {
    /// The file's text.
    pub fn encode(&self) -> String {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{NAME} {VERSION} {}\n{body}\n", blake3::hash(body.as_bytes()).to_hex())
    }

    /// Reads a file, no older than `most_age` seconds at a Unix time in milliseconds. Brings its age in seconds too.
    ///
    /// # Errors
    ///
    /// The file must not be used.
    pub fn decode(text: &[u8], now: u64, most_age: u64) -> Result<(Self, u64), CachedListError> {
        let text = std::str::from_utf8(text).map_err(|_| CachedListError::NotAListFile)?;
        let (head, body) = text.split_once('\n').ok_or(CachedListError::NotAListFile)?;
        let mut words = head.split(' ');
        if words.next() != Some(NAME) {
            return Err(CachedListError::NotAListFile);
        }
        match words.next() {
            Some(VERSION) => {}
            other => {
                return Err(CachedListError::UnknownVersion(
                    other.unwrap_or_default().chars().take(16).collect(),
                ));
            }
        }
        let body = body.strip_suffix('\n').ok_or(CachedListError::Corrupt)?;
        if words.next() != Some(blake3::hash(body.as_bytes()).to_hex().as_str()) || words.next().is_some() {
            return Err(CachedListError::Corrupt);
        }
        let saved: Self = serde_json::from_str(body).map_err(|_| CachedListError::Corrupt)?;
        // A minute for clocks that differ.
        if saved.confirmed_at > now + 60_000 {
            return Err(CachedListError::FromTheFuture((saved.confirmed_at - now) / 1000));
        }
        let age = now.saturating_sub(saved.confirmed_at) / 1000;
        if age > most_age { Err(CachedListError::TooOld(age)) } else { Ok((saved, age)) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::health_response::HealthStatus;

    fn saved() -> CachedList {
        let address = "127.0.0.1:80".parse().expect("an address");
        let instance = Instance {
            id: "n/x".into(),
            address,
            health: HealthStatus::Passing,
            weight: 2.5,
            started_at: Some(7),
        };
        CachedList { confirmed_at: 1_000_000, services: BTreeMap::from([("loans".into(), vec![instance])]) }
    }

    #[test]
    fn it_comes_back_with_its_age() {
        assert_eq!(CachedList::decode(saved().encode().as_bytes(), 1_042_000, 100), Ok((saved(), 42)));
    }

    #[test]
    fn any_cut_or_changed_byte_is_refused() {
        let text = saved().encode().into_bytes();
        for at in 0..text.len() {
            assert!(CachedList::decode(&text[..at], 1_000_000, 100).is_err(), "cut at {at}");
            let mut other = text.clone();
            other[at] ^= 1;
            assert!(CachedList::decode(&other, 1_000_000, 100).is_err(), "byte {at}");
        }
    }

    #[test]
    fn each_refusal_has_its_reason() {
        let text = saved().encode();
        let read = |text: &str, now| CachedList::decode(text.as_bytes(), now, 100).expect_err("refused");
        assert_eq!(read(&text, 1_200_000), CachedListError::TooOld(200));
        assert_eq!(read(&text, 100_000), CachedListError::FromTheFuture(900));
        assert_eq!(
            read(&text.replacen(" 1 ", " 2 ", 1), 1_000_000),
            CachedListError::UnknownVersion("2".into())
        );
        assert_eq!(read("{}\n", 1_000_000), CachedListError::NotAListFile);
        assert_eq!(read(&text[..text.len() - 9], 1_000_000), CachedListError::Corrupt);
    }
}
