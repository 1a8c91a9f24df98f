//! Timeline of a request in the worst case, as `snowfield explain` prints it.

use crate::ClassTiming;

/// An event of the timeline, printed on a line of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineEntry {
    /// Milliseconds after the request arrived.
    pub at_ms: u64,
    /// Description of the event, for operators.
    pub event: String,
}

impl TimelineEntry {
    fn new(at_ms: u64, event: impl Into<String>) -> Self {
        Self { at_ms, event: event.into() }
    }
}

impl ClassTiming {
    /// Returns the timeline of the worst case, in order of time. The class must have no violations: in an invalid class, the
    /// hedged attempt may be listed before an earlier event, and the sum of extreme timeouts overflows.
    pub fn worst_case_timeline(&self) -> Vec<TimelineEntry> {
        let hedge_after = self.hedge_after_ms.filter(|_| self.idempotent);
        match self.attempt_timeout_ms {
            Some(attempt_timeout) => self.timeline_of_attempts(attempt_timeout, hedge_after),
            None => self.timeline_of_one_attempt(hedge_after),
        }
    }

    /// Timeline without a timeout of attempts: an attempt without a response lasts until the deadline.
    fn timeline_of_one_attempt(&self, hedge_after: Option<u64>) -> Vec<TimelineEntry> {
        let start = "attempt 1 begins and is silent; others follow only where one fails before";
        let mut timeline = vec![TimelineEntry::new(0, start)];
        timeline.extend(hedge_after.map(|after| TimelineEntry::new(after, "a second copy may be sent")));
        let end = "the client gives up, and has its answer just before";
        timeline.push(TimelineEntry::new(self.deadline_ms, end));
        timeline
    }

    /// Timeline in which each attempt times out, or fails to connect where a non-idempotent request is retried.
    fn timeline_of_attempts(&self, attempt_timeout: u64, hedge_after: Option<u64>) -> Vec<TimelineEntry> {
        let mut timeline = Vec::new();
        let mut now = 0;
        let attempts = self.effective_max_attempts();
        for attempt in 1..=attempts {
            timeline.push(TimelineEntry::new(now, format!("attempt {attempt} begins and is silent")));
            if let Some(after) = hedge_after.filter(|_| attempt == 1) {
                let event = "a second copy may be sent in the place of a later attempt";
                timeline.push(TimelineEntry::new(now + after, event));
            }
            let (duration, end) = if self.idempotent || attempt == attempts {
                (attempt_timeout, "is given up")
            } else {
                (self.time_before_retry_ms(attempt_timeout), "has had no connection")
            };
            now += duration;
            timeline.push(TimelineEntry::new(now, format!("attempt {attempt} {end}")));
        }
        timeline.push(TimelineEntry::new(now, "the client has its answer"));
        timeline
    }
}
