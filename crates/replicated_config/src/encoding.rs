//! The encoding of messages, commands and the replicated state.

use serde::Serialize;

/// Encodes a value of this package, which cannot fail: the encoding fails only for a sequence of unknown length, and the package's
/// types hold none.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}
