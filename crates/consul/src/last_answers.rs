//! The time of the last answer that each endpoint gave to a client.

use crate::sync::locked;
use catalogue::EndpointNumber;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;
use timestamps::MonotonicTime;

/// The time of the last answer to a client, by endpoint. The backend side records answers; the watches read them and use the same
/// clock.
#[derive(Debug)]
pub struct LastAnswers {
    start: Instant,
    times: Mutex<HashMap<EndpointNumber, MonotonicTime>>,
}

impl Default for LastAnswers {
    fn default() -> Self {
        Self { start: Instant::now(), times: Mutex::default() }
    }
}

impl LastAnswers {
    /// Records that this endpoint has just answered a client.
    pub fn record(&self, endpoint: EndpointNumber) {
        let now = self.now();
        locked(&self.times).insert(endpoint, now);
    }

    /// The present moment of the clock that all watches share.
    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.start.elapsed()
    }

    /// When this endpoint last answered a client, if ever.
    pub(crate) fn last_answer_at(&self, endpoint: EndpointNumber) -> Option<MonotonicTime> {
        locked(&self.times).get(&endpoint).copied()
    }

    /// Forgets the endpoints for which `is_kept` returns false.
    pub(crate) fn retain(&self, is_kept: impl Fn(EndpointNumber) -> bool) {
        locked(&self.times).retain(|&endpoint, _| is_kept(endpoint));
    }
}
