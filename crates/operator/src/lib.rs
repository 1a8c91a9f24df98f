//! The admin protocol: the commands of operators to a running gatekeeper, and the replies.
//!
//! A [`Command`] is one line of text. A reply begins with `OK` or `ERR`; the reply to `telemetry` is the text format of
//! [`Metrics`]. This package does no I/O and reads no clock, so that parsing and formatting can be tested without a
//! running gatekeeper.

mod command;
mod metrics;
mod reply;

pub use command::{Command, CommandError, MAX_LINE_BYTES};
pub use metrics::{ClassMetrics, Metrics, RejectionCount, ViolationCount};
pub use reply::reply;
