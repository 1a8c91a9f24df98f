//! Which keys a file has: the file that replaces it must have them all.

use crate::SettingsError;
use crate::json::check_nesting;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::BTreeSet;

/// Keys below this depth are no settings.
const MAX_DEPTH: usize = 8;
/// The endpoint list, whose entries come and go.
const ENDPOINT_LIST: &str = "known";

/// The keys of a JSON file, each with those above it. The entries of a list are alike: a key counts where all of them have it.
/// The endpoint list is not a setting.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeySet(BTreeSet<String>);

impl KeySet {
    /// The keys of this file. The parser overwrites the bytes.
    ///
    /// # Errors
    ///
    /// The file is not JSON, or nests too deep.
    pub fn of(json: &mut [u8]) -> Result<Self, SettingsError> {
        check_nesting(json)?;
        let value = simd_json::to_owned_value(json)?;
        Ok(Self(keys(&value, 0)))
    }

    /// Whether another file has all these keys.
    ///
    /// # Errors
    ///
    /// Names one that it has not.
    pub fn check_included_in(&self, other: &Self) -> Result<(), SettingsError> {
        match self.0.difference(&other.0).next() {
            Some(key) => Err(SettingsError::MissingKey { key: key.clone() }),
            None => Ok(()),
        }
    }
}

fn keys(value: &OwnedValue, depth: usize) -> BTreeSet<String> {
    if let Some(object) = value.as_object() {
        return object.iter().flat_map(|(name, inner)| keys_below(name, inner, depth)).collect();
    }
    let mut entries = value.as_array().into_iter().flatten().map(|entry| keys(entry, depth + 1));
    let first = entries.next().unwrap_or_default();
    entries.fold(first, |common, entry| common.intersection(&entry).cloned().collect())
}

/// A key, and those of its value.
fn keys_below(name: &str, value: &OwnedValue, depth: usize) -> Vec<String> {
    let inner =
        if name == ENDPOINT_LIST || depth >= MAX_DEPTH { BTreeSet::new() } else { keys(value, depth + 1) };
    let inner = inner.into_iter().map(|key| format!("{name}.{key}"));
    inner.chain([name.to_owned()]).collect()
}
