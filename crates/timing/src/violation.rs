//! A rule that a file breaks, with a way to correct it.

/// A rule that a file can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TimingRule {
    /// A time or a number is 0.
    ZeroValue,
    /// The latency objective lies after the deadline.
    ObjectiveAfterDeadline,
    /// More attempts than any class may have.
    TooManyAttempts,
    /// The attempts do not fit before the client gives up.
    AttemptsExceedDeadline,
    /// An attempt ends before a connection can be established.
    AttemptShorterThanConnect,
    /// A hedged request of what must not run twice.
    HedgeOfNonIdempotent,
    /// A hedged request that cannot be answered in time.
    HedgeTooLate,
    /// A hedged request of an attempt that has timed out by then.
    HedgeNeverSent,
    /// A hedged request where only one attempt is allowed.
    HedgeWithoutAttempt,
}

/// One broken rule. Its text is what `snowfield check` prints.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("class {class:?}: {problem}; {remedy}")]
pub struct TimingViolation {
    /// The class.
    pub class: String,
    /// The rule.
    pub rule: TimingRule,
    /// What is wrong, with the values of the file.
    pub problem: String,
    /// A way to correct it.
    pub remedy: String,
}
