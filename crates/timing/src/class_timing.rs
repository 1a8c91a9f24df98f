//! Timing of one class of requests, as configured.

/// Timing of one class of requests. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassTiming {
    /// Name of the class.
    pub class: String,
    /// Whether requests are idempotent: one that may have been executed may be retried and hedged.
    pub idempotent: bool,
    /// Latency objective.
    pub latency_objective_ms: u64,
    /// Deadline, after which the client gives up.
    pub deadline_ms: u64,
    /// Time-out for connecting to a backend.
    pub connect_timeout_ms: u64,
    /// Maximum number of attempts of a request of any class.
    pub attempt_limit: u32,
    /// Maximum number of attempts of a request of this class, if configured.
    pub max_attempts: Option<u32>,
    /// Time-out of an attempt, if configured; otherwise an attempt lasts until the deadline.
    pub attempt_timeout_ms: Option<u64>,
    /// Delay of a hedged request, if configured.
    pub hedge_after_ms: Option<u64>,
}

impl ClassTiming {
    /// Maximum number of attempts of a request: that of the class, or else that of any class.
    pub fn effective_max_attempts(&self) -> u32 {
        self.max_attempts.unwrap_or(self.attempt_limit)
    }

    /// Maximum duration of an attempt that is followed by a retry, given the time-out of attempts.
    ///
    /// A non-idempotent request is retried only if it was surely not executed. In the worst case its connection was not established
    /// within the connect time-out.
    pub(crate) fn time_before_retry_ms(&self, attempt_timeout_ms: u64) -> u64 {
        if self.idempotent { attempt_timeout_ms } else { attempt_timeout_ms.min(self.connect_timeout_ms) }
    }

    /// Duration of all attempts in the worst case, given the time-out of each.
    pub(crate) fn worst_case_ms(&self, attempt_timeout_ms: u64) -> u64 {
        let retries = u64::from(self.effective_max_attempts().saturating_sub(1));
        let before_last = self.time_before_retry_ms(attempt_timeout_ms).saturating_mul(retries);
        before_last.saturating_add(attempt_timeout_ms)
    }
}
