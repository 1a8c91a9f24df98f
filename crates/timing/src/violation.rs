//! Violations of the timing rules, each with a remedy.

/// A rule for the timing of a class. Each variant is named after the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TimingRule {
    /// A configured time or number of attempts is 0.
    ZeroValue,
    /// The latency objective is longer than the deadline.
    ObjectiveAfterDeadline,
    /// The class is configured with more attempts than the limit of all classes.
    TooManyAttempts,
    /// In the worst case the attempts last longer than the deadline.
    AttemptsExceedDeadline,
    /// The timeout of an attempt is not longer than the connect timeout.
    AttemptShorterThanConnect,
    /// Hedging is configured for non-idempotent requests.
    HedgeOfNonIdempotent,
    /// A hedged attempt would be sent when the latency objective has passed.
    HedgeTooLate,
    /// A hedged attempt would not be sent before the first attempt times out.
    HedgeNeverSent,
    /// Hedging is configured, but fewer than two attempts are allowed.
    HedgeWithoutAttempt,
}

/// A violation of a rule. `snowfield check` prints its text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("class {class:?}: {problem}; {remedy}")]
pub struct TimingViolation {
    /// Name of the class that violates the rule.
    pub class: String,
    /// The rule that the class violates.
    pub rule: TimingRule,
    /// Description of the violation, with the configured values.
    pub problem: String,
    /// A change of the configuration that corrects the violation.
    pub remedy: String,
}
