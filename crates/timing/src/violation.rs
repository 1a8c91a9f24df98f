//! Violations of the rules, each with a remedy.

/// A rule for the timing of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TimingRule {
    /// A time or a number of attempts is 0.
    ZeroValue,
    /// The latency objective is longer than the deadline.
    ObjectiveAfterDeadline,
    /// The class has more attempts than the limit of all classes.
    TooManyAttempts,
    /// In the worst case the attempts last longer than the deadline.
    AttemptsExceedDeadline,
    /// The time-out of an attempt is not longer than the connect time-out.
    AttemptShorterThanConnect,
    /// Hedging is configured for non-idempotent requests.
    HedgeOfNonIdempotent,
    /// A hedged request would be sent after the latency objective.
    HedgeTooLate,
    /// A hedged request would be sent after the time-out of the first attempt.
    HedgeNeverSent,
    /// Hedging is configured, but only one attempt is allowed.
    HedgeWithoutAttempt,
}

/// A violation of a rule. `snowfield check` prints its text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("class {class:?}: {problem}; {remedy}")]
pub struct TimingViolation {
    /// Name of the class.
    pub class: String,
    /// The violated rule.
    pub rule: TimingRule,
    /// Description of the violation, with the configured values.
    pub problem: String,
    /// A change of the configuration that corrects it.
    pub remedy: String,
}
