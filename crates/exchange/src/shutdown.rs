//! What a graceful shutdown changes for the requests that are submitted after its start.

use policy::{Micros, Timestamp};
use std::time::Duration;

/// Bounds on the requests of a shutdown, both counted from its start. The process may be killed some time later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownBounds {
    /// Each request gets its final answer within this time, even if its own deadline is later.
    pub answers_within: Duration,
    /// A request that is submitted later than this gets no streamed answer: how long a stream lasts is not known when it begins,
    /// so the process may be killed first.
    pub streams_submitted_within: Duration,
}

/// The bounds of a shutdown that has started, as moments.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartedShutdown {
    latest_deadline: Timestamp,
    last_stream_submission: Timestamp,
}

impl StartedShutdown {
    pub(crate) fn new(now: Timestamp, bounds: ShutdownBounds) -> Self {
        Self {
            latest_deadline: now + bounds.answers_within.as_micros() as Micros,
            last_stream_submission: now + bounds.streams_submitted_within.as_micros() as Micros,
        }
    }

    /// Returns the earlier one of a request's own deadline and the shutdown's.
    pub(crate) fn limit_deadline(self, deadline: Timestamp) -> Timestamp {
        deadline.min(self.latest_deadline)
    }

    /// Whether a request that is submitted now may get a streamed answer.
    pub(crate) fn allows_stream(self, now: Timestamp) -> bool {
        now <= self.last_stream_submission
    }
}
