//! When clients last had an answer from each endpoint.

use crate::sync::locked;
use catalogue::{EndpointNumber, Timestamp};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// When clients last had an answer, by endpoint. Shared with the backend side; its clock is that of all watches.
#[derive(Debug)]
pub struct LastAnswers {
    start: Instant,
    times: Mutex<HashMap<EndpointNumber, Timestamp>>,
}

impl Default for LastAnswers {
    fn default() -> Self {
        Self { start: Instant::now(), times: Mutex::default() }
    }
}

impl LastAnswers {
    /// Records that a client has just got an answer from this endpoint.
    pub fn record(&self, endpoint: EndpointNumber) {
        let now = self.now();
        locked(&self.times).insert(endpoint, now);
    }

    /// The present moment of the clock that all watches share.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.start.elapsed()
    }

    pub(crate) fn of(&self, endpoint: EndpointNumber) -> Option<Timestamp> {
        locked(&self.times).get(&endpoint).copied()
    }

    /// Forgets the endpoints for which this is false.
    pub(crate) fn retain(&self, is_kept: impl Fn(EndpointNumber) -> bool) {
        locked(&self.times).retain(|&endpoint, _| is_kept(endpoint));
    }
}
