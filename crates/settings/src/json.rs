//! What all readers of JSON check first.

use crate::SettingsError;

/// The parser recurses: a text that nests without end would overflow its stack and abort the process.
pub(crate) fn check_nesting(json: &[u8]) -> Result<(), SettingsError> {
    if json_stream::exceeds_max_depth(json) { Err(SettingsError::NestedTooDeep) } else { Ok(()) }
}
