//! What a file states of the timing of one class.

/// What is stated of one class. Times are milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassTiming {
    /// The class.
    pub class: String,
    /// A request that may have run may be sent again.
    pub idempotent: bool,
    /// An answer is wanted by then.
    pub latency_objective_ms: u64,
    /// The client gives up then.
    pub deadline_ms: u64,
    /// A connection that is not established by then has failed.
    pub connect_timeout_ms: u64,
    /// The most attempts of any class.
    pub attempt_limit: u32,
    /// The most attempts of a request of this class, where it is stated.
    pub max_attempts: Option<u32>,
    /// How long one attempt may take, where it is stated; else until the client gives up.
    pub attempt_timeout_ms: Option<u64>,
    /// A hedged request may be sent after this, where it is stated.
    pub hedge_after_ms: Option<u64>,
}

impl ClassTiming {
    /// The most attempts that a request may have.
    pub fn effective_max_attempts(&self) -> u32 {
        self.max_attempts.unwrap_or(self.attempt_limit)
    }

    /// How long an attempt that is not the last can take before the next one, given the time-out of attempts.
    ///
    /// A request that may have run is not sent again where that does harm: then only an attempt whose connection is never
    /// established can precede another.
    pub(crate) fn time_before_retry_ms(&self, attempt_timeout_ms: u64) -> u64 {
        if self.idempotent { attempt_timeout_ms } else { attempt_timeout_ms.min(self.connect_timeout_ms) }
    }

    /// How long all attempts take in the worst case, given the time-out of each.
    pub(crate) fn worst_case_ms(&self, attempt_timeout_ms: u64) -> u64 {
        let retries = u64::from(self.effective_max_attempts().saturating_sub(1));
        let before_last = self.time_before_retry_ms(attempt_timeout_ms).saturating_mul(retries);
        before_last.saturating_add(attempt_timeout_ms)
    }
}
