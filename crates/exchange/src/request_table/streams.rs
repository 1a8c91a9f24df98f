//! The set of streamed answers that have not ended.

use crate::request::AttemptId;
use std::collections::HashMap;

/// The streamed answers that have begun and not ended, by attempt, each with the class of its request.
#[derive(Debug, Default)]
pub(super) struct OpenStreams {
    class_by_attempt: HashMap<AttemptId, u16>,
    /// Number of streams that were refused because they began too late in a shutdown.
    refused_count: usize,
}

impl OpenStreams {
    pub(super) fn open(&mut self, attempt: AttemptId, class: u16) {
        self.class_by_attempt.insert(attempt, class);
    }

    /// Closes the stream of an attempt and returns the class of the attempt's request; `None` if no such stream is open.
    pub(super) fn close(&mut self, attempt: AttemptId) -> Option<u16> {
        self.class_by_attempt.remove(&attempt)
    }

    pub(super) fn count(&self) -> usize {
        self.class_by_attempt.len()
    }

    pub(super) fn count_refused(&mut self) {
        self.refused_count += 1;
    }

    pub(super) fn refused_count(&self) -> usize {
        self.refused_count
    }
}
