//! The set of keys of a configuration file. On a reload, the new file must have all keys of the old one.

use crate::SettingsError;
use crate::json::check_nesting;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::BTreeSet;

/// Maximum nesting depth of the compared keys.
const MAX_KEY_DEPTH: usize = 8;
/// Key of the cached endpoint list. The keys inside the list are not compared, since the list changes at run time.
const ENDPOINT_LIST: &str = "known";

/// The keys of a JSON file, as dotted paths from the root. For a list, only keys that all entries have are included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeySet(BTreeSet<String>);

impl KeySet {
    /// Collects the keys of a file. The parser overwrites the bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is not valid JSON, or its values are nested too deeply.
    pub fn of(json: &mut [u8]) -> Result<Self, SettingsError> {
        check_nesting(json)?;
        let value = simd_json::to_owned_value(json)?;
        Ok(Self(keys(&value, 0)))
    }

    /// Checks that another file has all these keys.
    ///
    /// # Errors
    ///
    /// Returns an error with the first missing key.
    pub fn check_all_present_in(&self, other: &Self) -> Result<(), SettingsError> {
        match self.0.difference(&other.0).next() {
            Some(key) => Err(SettingsError::MissingKey { key: key.clone() }),
            None => Ok(()),
        }
    }
}

/// The keys inside a value, as dotted paths relative to the value.
fn keys(value: &OwnedValue, depth: usize) -> BTreeSet<String> {
    if let Some(object) = value.as_object() {
        return object.iter().flat_map(|(name, inner)| keys_below(name, inner, depth)).collect();
    }
    let mut entries = value.as_array().into_iter().flatten().map(|entry| keys(entry, depth + 1));
    let first = entries.next().unwrap_or_default();
    entries.fold(first, |common, entry| common.intersection(&entry).cloned().collect())
}

/// A key and the keys inside its value, as dotted paths.
fn keys_below(name: &str, value: &OwnedValue, depth: usize) -> Vec<String> {
    let inner = if name == ENDPOINT_LIST || depth >= MAX_KEY_DEPTH {
        BTreeSet::new()
    } else {
        keys(value, depth + 1)
    };
    let inner = inner.into_iter().map(|key| format!("{name}.{key}"));
    inner.chain([name.to_owned()]).collect()
}
