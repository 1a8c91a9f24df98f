//! Which keys a file has: one that takes the place of another must have them all.

use crate::ConfigError;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::BTreeSet;

/// The keys of a file. Entries of a list are like each other: a key counts where all of them have it. The list of loan servers
/// is no setting.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shape(BTreeSet<String>);

/// What lies so deep is no setting.
const DEEPEST: usize = 8;

impl Shape {
    /// The keys of this file. The bytes are used up in place.
    ///
    /// # Errors
    ///
    /// It is no JSON, or nests too deep.
    pub fn of(json: &mut [u8]) -> Result<Self, ConfigError> {
        crate::not_too_deep(json)?;
        let value = simd_json::to_owned_value(json).map_err(|e| ConfigError(e.to_string()))?;
        Ok(Self(keys(&value, 0)))
    }

    /// Whether all these keys are in another file.
    ///
    /// # Errors
    ///
    /// The text names one that is not.
    pub fn kept_by(&self, other: &Self) -> Result<(), ConfigError> {
        let lost = self.0.difference(&other.0).next();
        lost.map_or(Ok(()), |key| Err(ConfigError(format!("the key {key} is missing"))))
    }
}

fn keys(value: &OwnedValue, depth: usize) -> BTreeSet<String> {
    let below = |name: &str, inner: &OwnedValue| {
        let inner =
            if name == "known" || depth >= DEEPEST { BTreeSet::new() } else { keys(inner, depth + 1) };
        let name = name.to_owned();
        inner.into_iter().map(|key| format!("{name}.{key}")).chain([name.clone()]).collect::<Vec<_>>()
    };
    if let Some(object) = value.as_object() {
        return object.iter().flat_map(|(name, inner)| below(name, inner)).collect();
    }
    let mut entries = value.as_array().into_iter().flatten().map(|entry| keys(entry, depth + 1));
    let first = entries.next().unwrap_or_default();
    entries.fold(first, |all, entry| all.intersection(&entry).cloned().collect())
}
