//! Encodes messages, commands and the replicated state with postcard.

use serde::Serialize;

/// Encodes a value of one of this package's types. This cannot fail: postcard rejects only sequences of unknown length, and the
/// package's types hold none.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}
