//! The admin protocol: what operators may ask of a running gatekeeper, and how it answers.
//!
//! A [`Command`] is one line. A reply begins with `OK` or `ERR`; the reply to `telemetry` is the text form of [`Metrics`]. This
//! package has neither sockets nor clocks, so that each form can be tested by itself.

mod command;
mod metrics;
mod reply;

pub use command::{Command, CommandError, MAX_LINE_BYTES};
pub use metrics::{ClassMetrics, Metrics, RejectionCount, ViolationCount};
pub use reply::reply;
