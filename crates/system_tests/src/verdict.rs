//! The overall result of a system test.

use std::fmt::{self, Display, Formatter};
use std::process::ExitCode;

/// Whether all figures of a system test are within their bounds. Its display text ends the last line that the test prints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Each figure is within its bound.
    WithinBounds,
    /// At least one figure is out of its bound.
    OutOfBounds,
}

impl Display for Verdict {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::WithinBounds => "all within bounds",
            Self::OutOfBounds => "OUT OF BOUNDS",
        })
    }
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::WithinBounds => Self::SUCCESS,
            Verdict::OutOfBounds => Self::FAILURE,
        }
    }
}
