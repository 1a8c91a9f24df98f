//! When each endpoint last answered a client. Endpoints with a recent answer are retained after a sudden loss.

use crate::sync::locked;
use catalogue::EndpointNumber;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;
use timestamps::MonotonicTime;

/// The time of the last answer to a client, by endpoint. The code that exchanges requests with backends records answers; the
/// watches read them, and use the same clock.
#[derive(Debug)]
pub struct LastAnswers {
    clock_start: Instant,
    times: Mutex<HashMap<EndpointNumber, MonotonicTime>>,
}

impl Default for LastAnswers {
    fn default() -> Self {
        Self { clock_start: Instant::now(), times: Mutex::default() }
    }
}

impl LastAnswers {
    /// Records now as the time at which an endpoint last answered a client.
    pub fn record(&self, endpoint: EndpointNumber) {
        let now = self.now();
        locked(&self.times).insert(endpoint, now);
    }

    /// The current time of the clock that all watches share.
    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.clock_start.elapsed()
    }

    /// When an endpoint last answered a client; `None` if the endpoint never answered a client, or was removed by
    /// [`LastAnswers::retain`].
    pub(crate) fn last_answer_at(&self, endpoint: EndpointNumber) -> Option<MonotonicTime> {
        locked(&self.times).get(&endpoint).copied()
    }

    /// Removes the times of the endpoints for which `is_kept` returns false.
    pub(crate) fn retain(&self, is_kept: impl Fn(EndpointNumber) -> bool) {
        locked(&self.times).retain(|&endpoint, _| is_kept(endpoint));
    }
}
