//! The guard on retries and hedged attempts: checks whether a request may be sent once more. The guard relies only on the
//! outcomes of the earlier attempts, not on the policy's decision.

use crate::clock::MAX_SCHEDULING_DELAY;
use crate::in_flight::InFlightAttempt;
use invariants::Guard;
use policy::{Idempotency, Micros, Outcome, RequestClass, RequestId, Timestamp};

#[cfg(test)]
mod tests;

/// The condition under which a request of a class may be sent once more.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RepeatRule {
    /// The request is idempotent, and may always be sent once more.
    Always,
    /// The request may be sent once more within this time of the first attempt that may have run, while backends still recognize
    /// its idempotency key.
    Within(Micros),
    /// The request may be sent once more only if no earlier attempt can have run.
    IfNeverRan,
}

impl RepeatRule {
    fn of_class(class: &RequestClass) -> Self {
        match class.idempotency {
            Idempotency::Idempotent => Self::Always,
            Idempotency::Keyed => Self::Within(class.idempotency_key_ttl),
            Idempotency::NonIdempotent => Self::IfNeverRan,
        }
    }

    /// Whether this rule permits a further attempt of a request after its `earlier` attempts. An earlier attempt that has not
    /// ended counts as one that the backend may have run.
    fn permits(self, now: Timestamp, earlier: &[InFlightAttempt]) -> bool {
        let may_have_run = |attempt: &&InFlightAttempt| !attempt.outcome.is_some_and(Outcome::never_ran);
        let Some(first) = earlier.iter().find(may_have_run) else { return true };
        match self {
            Self::Always => true,
            Self::Within(window) => now + MAX_SCHEDULING_DELAY <= first.sent_at + window,
            Self::IfNeverRan => false,
        }
    }
}

/// The rules of all classes, indexed by the number of the class.
#[derive(Debug)]
pub(super) struct RepeatRules {
    rules: Vec<RepeatRule>,
}

impl RepeatRules {
    pub(super) fn of_classes(classes: &[RequestClass]) -> Self {
        Self { rules: classes.iter().map(RepeatRule::of_class).collect() }
    }

    /// Replaces the rules of the classes that `newer` has. The rules of removed classes stay for their requests in flight.
    pub(super) fn replace_rules(&mut self, newer: Self) {
        let replaced = newer.rules.len().min(self.rules.len());
        self.rules.splice(..replaced, newer.rules);
    }

    /// Reports a violation of the retry invariant if the rule of the class does not permit a further attempt of the request after
    /// its `earlier` attempts.
    pub(super) fn check_further_attempt(
        &self,
        now: Timestamp,
        id: RequestId,
        class: u16,
        earlier: &[InFlightAttempt],
    ) {
        let Some(rule) = self.rules.get(usize::from(class)) else { return };
        invariants::check(
            Guard::Retrying,
            rule.permits(now, earlier),
            format_args!("request {id} of class {class}, attempt {} by rule {rule:?}", earlier.len()),
        );
    }
}
