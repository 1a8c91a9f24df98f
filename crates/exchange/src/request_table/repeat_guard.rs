//! The guard on repeating: whether a request may be sent once more, from the outcomes of its attempts alone.

use crate::in_flight::InFlightAttempt;
use invariants::Guard;
use policy::{Idempotency, Micros, Outcome, RequestClass, RequestId, Timestamp};

/// A gatekeeper may be held up for so long between this check and the write.
const HOLD_UP: Micros = 150_000;

/// When requests of a class may be sent once more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RepeatRule {
    /// At any time.
    Always,
    /// Within this time of the first attempt that may have run.
    Within(Micros),
    /// If all attempts before surely never ran.
    IfNeverRan,
}

impl RepeatRule {
    /// The rule of a class.
    pub(super) fn of(class: &RequestClass) -> Self {
        match class.idempotency {
            Idempotency::Idempotent => Self::Always,
            Idempotency::Keyed => Self::Within(class.idempotency_key_ttl),
            Idempotency::NonIdempotent => Self::IfNeverRan,
        }
    }

    /// Whether a further attempt keeps the rule.
    fn permits(self, now: Timestamp, earlier: &[InFlightAttempt]) -> bool {
        let may_have_run = |attempt: &&InFlightAttempt| !attempt.outcome.is_some_and(Outcome::never_ran);
        let Some(first) = earlier.iter().find(may_have_run) else { return true };
        match self {
            Self::Always => true,
            Self::Within(window) => now + HOLD_UP <= first.sent_at + window,
            Self::IfNeverRan => false,
        }
    }
}

/// Reports a further attempt that its class does not permit.
pub(super) fn check(
    now: Timestamp,
    id: RequestId,
    rules: &[RepeatRule],
    class: u16,
    earlier: &[InFlightAttempt],
) {
    let Some(rule) = rules.get(usize::from(class)) else { return };
    invariants::check(
        Guard::Repeating,
        rule.permits(now, earlier),
        format_args!("request {id} of class {class}, attempt {} by rule {rule:?}", earlier.len()),
    );
}
