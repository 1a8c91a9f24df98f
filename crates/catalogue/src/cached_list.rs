//! The cached list on disk: one line with version and checksum, then one of JSON. A file that was altered or truncated is
//! rejected.

use crate::error::CachedListError;
use crate::format::CACHE_VERSION;
use crate::{Instance, Millis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first word of the file.
const MAGIC: &str = "snowfield-list";
/// The longest version of an unknown format that an error shows, in characters.
const MAX_SHOWN_VERSION: usize = 16;
/// A list may be this far in the future, for clocks that differ.
const MAX_CLOCK_DIFFERENCE: Millis = 60_000;

/// The endpoint lists of all services, as Consul confirmed them last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CachedList {
    /// When Consul last confirmed it, in milliseconds since the Unix epoch.
    #[serde(rename = "at")]
    pub confirmed_at: Millis,
    /// By service, the instances that were eligible.
    pub services: BTreeMap<String, Vec<Instance>>,
}

/// A list that was read, with its age.
#[derive(Clone, Debug, PartialEq)]
pub struct AgedList {
    /// The list.
    pub list: CachedList,
    /// Its age when it was read.
    pub age_seconds: u64,
}

impl CachedList {
    /// The text of the file.
    pub fn encode(&self) -> String {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{MAGIC} {CACHE_VERSION} {}\n{body}\n", checksum(&body))
    }

    /// Reads the text of a file. `now` is in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// The file must not be used: it is none of ours, damaged, older than `max_age_seconds` or from the future.
    pub fn decode(text: &[u8], now: Millis, max_age_seconds: u64) -> Result<AgedList, CachedListError> {
        let list = Self::parse(text)?;
        if list.confirmed_at > now + MAX_CLOCK_DIFFERENCE {
            let ahead_seconds = (list.confirmed_at - now) / 1000;
            return Err(CachedListError::FromTheFuture { ahead_seconds });
        }
        let age_seconds = now.saturating_sub(list.confirmed_at) / 1000;
        if age_seconds > max_age_seconds {
            return Err(CachedListError::TooOld { age_seconds });
        }
        Ok(AgedList { list, age_seconds })
    }

    fn parse(text: &[u8]) -> Result<Self, CachedListError> {
        let text = std::str::from_utf8(text).map_err(|_| CachedListError::NotAListFile)?;
        let (header, body) = text.split_once('\n').ok_or(CachedListError::NotAListFile)?;
        let mut words = header.split(' ');
        if words.next() != Some(MAGIC) {
            return Err(CachedListError::NotAListFile);
        }
        match words.next() {
            Some(CACHE_VERSION) => {}
            other => {
                let version = other.unwrap_or_default().chars().take(MAX_SHOWN_VERSION).collect();
                return Err(CachedListError::UnknownVersion(version));
            }
        }
        let body = body.strip_suffix('\n').ok_or(CachedListError::Corrupt)?;
        if words.next() != Some(checksum(body).as_str()) || words.next().is_some() {
            return Err(CachedListError::Corrupt);
        }
        serde_json::from_str(body).map_err(|_| CachedListError::Corrupt)
    }
}

fn checksum(body: &str) -> String {
    blake3::hash(body.as_bytes()).to_hex().to_string()
}

#[cfg(test)]
mod tests;
