//! The last good list on disk: one line with version, time and checksum, then JSON. What is altered or cut is refused.

use crate::answer::Instance;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// In front of the first line.
const NAME: &str = "snowfield-list";
/// The version of the form.
const VERSION: &str = "1";
/// The most bytes of a file.
pub const LARGEST: usize = 64 * 1024 * 1024;

/// What is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Saved {
    /// When Consul last confirmed it, in Unix milliseconds.
    pub at: u64,
    /// By service, the instances that take work.
    pub services: BTreeMap<String, Vec<Instance>>,
}

/// Why a file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SavedError {
    /// It is no list of ours.
    NotOurs,
    /// It has a version that this program does not know.
    Version(String),
    /// It was cut or altered.
    Altered,
    /// It is older than what is allowed, in seconds.
    TooOld(u64),
    /// It says that it is from the future, by so many seconds: a clock is wrong.
    Future(u64),
}

impl fmt::Display for SavedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotOurs => write!(f, "it is no list of snowfield's"),
            Self::Version(version) => write!(f, "its version is {version:?}, and {VERSION} is known"),
            Self::Altered => write!(f, "it was cut short or altered"),
            Self::TooOld(age) => write!(f, "it is {age} s old, more than allowed"),
            Self::Future(by) => write!(f, "it is from {by} s in the future"),
        }
    }
}

impl std::error::Error for SavedError {}

impl Saved {
    /// The file's text.
    pub fn put(&self) -> String {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{NAME} {VERSION} {}\n{body}\n", blake3::hash(body.as_bytes()).to_hex())
    }

    /// Reads a file, no older than `most_age` seconds at a Unix time in milliseconds. Brings its age in seconds too.
    ///
    /// # Errors
    ///
    /// The file must not be used.
    pub fn read(text: &[u8], now: u64, most_age: u64) -> Result<(Self, u64), SavedError> {
        let text = std::str::from_utf8(text).map_err(|_| SavedError::NotOurs)?;
        let (head, body) = text.split_once('\n').ok_or(SavedError::NotOurs)?;
        let mut words = head.split(' ');
        if words.next() != Some(NAME) {
            return Err(SavedError::NotOurs);
        }
        match words.next() {
            Some(VERSION) => {}
            other => return Err(SavedError::Version(other.unwrap_or_default().chars().take(16).collect())),
        }
        let body = body.strip_suffix('\n').ok_or(SavedError::Altered)?;
        if words.next() != Some(blake3::hash(body.as_bytes()).to_hex().as_str()) || words.next().is_some() {
            return Err(SavedError::Altered);
        }
        let saved: Self = serde_json::from_str(body).map_err(|_| SavedError::Altered)?;
        // A minute for clocks that differ.
        if saved.at > now + 60_000 {
            return Err(SavedError::Future((saved.at - now) / 1000));
        }
        let age = now.saturating_sub(saved.at) / 1000;
        if age > most_age { Err(SavedError::TooOld(age)) } else { Ok((saved, age)) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::answer::Health;

    fn saved() -> Saved {
        let address = "127.0.0.1:80".parse().expect("an address");
        let instance =
            Instance { id: "n/x".into(), address, health: Health::Passing, weight: 2.5, started: Some(7) };
        Saved { at: 1_000_000, services: BTreeMap::from([("loans".into(), vec![instance])]) }
    }

    #[test]
    fn it_comes_back_with_its_age() {
        assert_eq!(Saved::read(saved().put().as_bytes(), 1_042_000, 100), Ok((saved(), 42)));
    }

    #[test]
    fn any_cut_or_changed_byte_is_refused() {
        let text = saved().put().into_bytes();
        for at in 0..text.len() {
            assert!(Saved::read(&text[..at], 1_000_000, 100).is_err(), "cut at {at}");
            let mut other = text.clone();
            other[at] ^= 1;
            assert!(Saved::read(&other, 1_000_000, 100).is_err(), "byte {at}");
        }
    }

    #[test]
    fn each_refusal_has_its_reason() {
        let text = saved().put();
        let read = |text: &str, now| Saved::read(text.as_bytes(), now, 100).expect_err("refused");
        assert_eq!(read(&text, 1_200_000), SavedError::TooOld(200));
        assert_eq!(read(&text, 100_000), SavedError::Future(900));
        assert_eq!(read(&text.replacen(" 1 ", " 2 ", 1), 1_000_000), SavedError::Version("2".into()));
        assert_eq!(read("{}\n", 1_000_000), SavedError::NotOurs);
        assert_eq!(read(&text[..text.len() - 9], 1_000_000), SavedError::Altered);
    }
}
