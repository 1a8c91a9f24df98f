//! Timing of one class of requests, as configured.

/// Timing of one class of requests. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassTiming {
    /// Name of the class in the configuration.
    pub class: String,
    /// Whether requests are idempotent, so that a request that may already have been executed may be retried or hedged.
    pub idempotent: bool,
    /// Latency objective: the time within which the client wants the answer.
    pub latency_objective_ms: u64,
    /// Time from the arrival of the request until the client gives up.
    pub deadline_ms: u64,
    /// Timeout for connecting to a backend.
    pub connect_timeout_ms: u64,
    /// Maximum number of attempts of a request of any class (`limits.route_steps`).
    pub attempt_limit: u32,
    /// Maximum number of attempts of a request of this class; `None` if only the limit of all classes applies.
    pub max_attempts: Option<u32>,
    /// Timeout of an attempt; `None` if an attempt may last until the deadline.
    pub attempt_timeout_ms: Option<u64>,
    /// Delay from the start of the first attempt until a hedged attempt may be sent; `None` disables hedging.
    pub hedge_after_ms: Option<u64>,
}

impl ClassTiming {
    /// Maximum number of attempts of a request: that of the class if configured, otherwise the limit of all classes.
    pub fn effective_max_attempts(&self) -> u32 {
        self.max_attempts.unwrap_or(self.attempt_limit)
    }

    /// Maximum duration of an attempt that is followed by a retry, given the timeout of attempts.
    ///
    /// A non-idempotent request is retried only if the failed attempt was certainly not executed. In the worst case this is known
    /// only when the connect timeout expires without a connection.
    pub(crate) fn time_before_retry_ms(&self, attempt_timeout_ms: u64) -> u64 {
        if self.idempotent { attempt_timeout_ms } else { attempt_timeout_ms.min(self.connect_timeout_ms) }
    }

    /// Duration of all attempts of a request in the worst case, given the timeout of each attempt.
    pub(crate) fn worst_case_ms(&self, attempt_timeout_ms: u64) -> u64 {
        let retries = u64::from(self.effective_max_attempts().saturating_sub(1));
        let before_last = self.time_before_retry_ms(attempt_timeout_ms).saturating_mul(retries);
        before_last.saturating_add(attempt_timeout_ms)
    }
}
