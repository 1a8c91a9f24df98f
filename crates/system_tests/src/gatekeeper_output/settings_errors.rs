//! Errors with which `snowfield check` rejects the timing of a class. Each constant is a part of the error text that identifies
//! the violated rule.

/// `timing`, `TimingRule::ZeroValue`.
pub const ZERO_VALUE: &str = "is 0";

/// `timing`, `TimingRule::ObjectiveAfterDeadline`.
pub const OBJECTIVE_AFTER_DEADLINE: &str = "is given up after";

/// `timing`, `TimingRule::TooManyAttempts`.
pub const TOO_MANY_ATTEMPTS: &str = "are more than limits.route_steps";

/// `timing`, `TimingRule::AttemptsExceedDeadline`.
pub const ATTEMPTS_EXCEED_DEADLINE: &str = "take up to";

/// `timing`, `TimingRule::AttemptShorterThanConnect`.
pub const ATTEMPT_SHORTER_THAN_CONNECT: &str = "ends before a connection";

/// `timing`, `TimingRule::HedgeOfNonIdempotent`.
pub const HEDGE_OF_NON_IDEMPOTENT: &str = "must not run twice";

/// `timing`, `TimingRule::HedgeTooLate`.
pub const HEDGE_TOO_LATE: &str = "no longer wanted";

/// `timing`, `TimingRule::HedgeNeverSent`.
pub const HEDGE_NEVER_SENT: &str = "never comes";

/// `timing`, `TimingRule::HedgeWithoutAttempt`.
pub const HEDGE_WITHOUT_ATTEMPT: &str = "one is all there may be";

/// `settings`: the value of the key `attempts` does not parse.
pub const INVALID_ATTEMPTS: &str = "attempts";

/// `settings`: the class has the unknown key `attempt`.
pub const UNKNOWN_KEY_ATTEMPT: &str = "attempt";
