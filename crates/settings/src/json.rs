//! What all readers of JSON check first.

use crate::SettingsError;

/// The parser recurses: a text that nests without end would overflow its stack and abort the process.
pub(crate) fn check_nesting(json: &[u8]) -> Result<(), SettingsError> {
    if json_stream::nests_too_deep(json) { Err(SettingsError::NestedTooDeep) } else { Ok(()) }
}
