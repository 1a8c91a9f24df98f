//! The result of a parsing step.

use std::fmt;

/// Bytes that are not valid RESP2. The text says why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Malformed {}

/// The result of a parser: `None` where more bytes must arrive.
pub type Step<T> = Result<Option<T>, Malformed>;
