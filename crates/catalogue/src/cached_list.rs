//! Encoding of the cached endpoint lists: a header line with format version and checksum, then a line of JSON. A truncated or
//! altered file is rejected.

use crate::error::CachedListError;
use crate::format::CACHE_VERSION;
use crate::{Instance, stored_time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use timestamps::UnixTime;

/// First word of the header line, which identifies the file format.
const MAGIC: &str = "snowfield-list";
/// Maximum number of characters of an unknown version in an error text.
const MAX_SHOWN_VERSION_CHARS: usize = 16;
/// Maximum time by which a list may be dated in the future, to allow for clock skew between writer and reader.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// The endpoint lists of all services, as Consul last confirmed them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CachedList {
    /// When an agent last confirmed the lists, by the clock of the writer.
    #[serde(rename = "at", with = "stored_time")]
    pub confirmed_at: UnixTime,
    /// The instances that were eligible at `confirmed_at`, by service name.
    pub services: BTreeMap<String, Vec<Instance>>,
}

/// The cached lists of a file that was accepted, and their age.
#[derive(Clone, Debug, PartialEq)]
pub struct AgedList {
    /// The decoded contents of the file.
    pub list: CachedList,
    /// Time between the list's confirmation and its decoding, in whole seconds.
    pub age: Duration,
}

impl CachedList {
    /// Encodes the lists as a cache file: the header line with the checksum, then a line of JSON.
    pub fn encode(&self) -> String {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{MAGIC} {CACHE_VERSION} {}\n{body}\n", checksum(&body))
    }

    /// Decodes the contents of a cache file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file has another format, is damaged, is older than `max_age`, or is dated in the future.
    pub fn decode(text: &[u8], now: UnixTime, max_age: Duration) -> Result<AgedList, CachedListError> {
        let list = Self::parse(text)?;
        if list.confirmed_at > now + MAX_CLOCK_SKEW {
            let ahead = list.confirmed_at.saturating_since(now);
            return Err(CachedListError::DatedInFuture { ahead });
        }
        let age = Duration::from_secs(now.saturating_since(list.confirmed_at).as_secs());
        if age > max_age {
            return Err(CachedListError::TooOld { age });
        }
        Ok(AgedList { list, age })
    }

    fn parse(text: &[u8]) -> Result<Self, CachedListError> {
        let text = std::str::from_utf8(text).map_err(|_| CachedListError::NotACacheFile)?;
        let (header, body) = text.split_once('\n').ok_or(CachedListError::NotACacheFile)?;
        let expected_checksum = parse_header(header)?;
        let body = body.strip_suffix('\n').ok_or(CachedListError::Corrupt)?;
        if expected_checksum != checksum(body) {
            return Err(CachedListError::Corrupt);
        }
        serde_json::from_str(body).map_err(|_| CachedListError::Corrupt)
    }
}

/// Checks the magic word and the version in the header line, and returns the checksum.
fn parse_header(header: &str) -> Result<&str, CachedListError> {
    let mut words = header.split(' ');
    if words.next() != Some(MAGIC) {
        return Err(CachedListError::NotACacheFile);
    }
    let version = words.next().unwrap_or_default();
    if version != CACHE_VERSION {
        let shown = version.chars().take(MAX_SHOWN_VERSION_CHARS).collect();
        return Err(CachedListError::UnsupportedVersion(shown));
    }
    match (words.next(), words.next()) {
        (Some(checksum), None) => Ok(checksum),
        _ => Err(CachedListError::Corrupt),
    }
}

fn checksum(body: &str) -> String {
    blake3::hash(body.as_bytes()).to_hex().to_string()
}

#[cfg(test)]
mod tests;
