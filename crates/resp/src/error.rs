//! The error of malformed input, and the result type of the parsers.

use std::fmt;

/// The input is not valid RESP2 or exceeds a limit. The text states the reason, and a front sends it to its
/// client as an error reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedInput(pub &'static str);

impl fmt::Display for MalformedInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for MalformedInput {}

/// The result of an incremental parser: `Ok(None)` if more bytes must arrive.
pub type ParseResult<T> = Result<Option<T>, MalformedInput>;
