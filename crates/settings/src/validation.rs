//! Checks shared by several tables of the configuration files.

use crate::SettingsError;
use std::collections::HashSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Maximum length in bytes of a name that is used in keys of the lease store and in log lines.
const MAX_NAME_BYTES: usize = 64;
/// Allowed periods of jobs and health checks, in milliseconds.
pub(crate) const PERIOD_RANGE_MS: RangeInclusive<u64> = 100..=86_400_000;

/// Returns the error for an invalid value of a key.
pub(crate) fn invalid_value(
    key: impl Into<String>,
    value: impl Display,
    requirement: impl Into<String>,
) -> SettingsError {
    SettingsError::InvalidValue { key: key.into(), value: value.to_string(), requirement: requirement.into() }
}

/// Checks that a number is within a range.
pub(crate) fn check_range<T: Copy + Display + PartialOrd>(
    key: impl Into<String>,
    value: T,
    range: RangeInclusive<T>,
) -> Result<(), SettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(invalid_value(key, value, format!("{} to {}", range.start(), range.end())))
}

/// Checks that a number is at least `minimum`.
pub(crate) fn check_minimum<T: Copy + Display + PartialOrd>(
    key: impl Into<String>,
    value: T,
    minimum: T,
) -> Result<(), SettingsError> {
    if value >= minimum { Ok(()) } else { Err(invalid_value(key, value, format!("{minimum} at least"))) }
}

/// Checks that names are unique.
pub(crate) fn check_unique<'a>(
    kind: &'static str,
    names: impl IntoIterator<Item = &'a str>,
) -> Result<(), SettingsError> {
    let names: Vec<&str> = names.into_iter().collect();
    let mut seen = HashSet::new();
    match names.iter().find(|name| !seen.insert(**name)) {
        Some(name) => Err(SettingsError::Duplicate { kind, name: (*name).to_owned() }),
        None => Ok(()),
    }
}

/// Checks that names are unique and not empty.
pub(crate) fn check_names<'a>(
    kind: &'static str,
    names: impl IntoIterator<Item = &'a str> + Clone,
) -> Result<(), SettingsError> {
    check_unique(kind, names.clone())?;
    if names.into_iter().any(str::is_empty) { Err(SettingsError::Unnamed { kind }) } else { Ok(()) }
}

/// Checks that a name can be used in keys of the lease store and in log lines.
pub(crate) fn check_identifier(key: impl Into<String>, name: &str) -> Result<(), SettingsError> {
    let valid = (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if valid {
        return Ok(());
    }
    Err(invalid_value(
        key,
        format!("{name:?}"),
        format!("1 to {MAX_NAME_BYTES} letters, digits and any of -_."),
    ))
}

/// Checks that all addresses are on the loopback interface.
pub(crate) fn check_loopback(
    key: &'static str,
    addresses: impl IntoIterator<Item = SocketAddr>,
    reason: &'static str,
) -> Result<(), SettingsError> {
    match addresses.into_iter().find(|address| !address.ip().is_loopback()) {
        Some(address) => Err(SettingsError::NotOnLoopback { key, address, reason }),
        None => Ok(()),
    }
}
