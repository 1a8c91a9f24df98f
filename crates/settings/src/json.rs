//! Check of the nesting depth of JSON before parsing.

use crate::SettingsError;

/// Rejects deeply nested text. The parser is recursive, and such text would overflow the stack and abort the process.
pub(crate) fn check_nesting(json: &[u8]) -> Result<(), SettingsError> {
    if json_stream::exceeds_max_depth(json) { Err(SettingsError::NestedTooDeep) } else { Ok(()) }
}
