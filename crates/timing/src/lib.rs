//! What a file states of the timing of a class: whether it can be honoured, and the course of its worst case. No file, clock
//! or socket is in here, so that every rule can be tested by itself.
//!
//! The worst case is that each attempt is silent for all of its time, the making of its connection included. What a file
//! promises must be over by then before the client gives up.

use std::fmt;

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
    /// A connection that is not made by then has failed.
    pub connect_timeout_ms: u64,
    /// The most attempts of any class.
    pub attempt_limit: u32,
    /// Attempts of this class, where it states them.
    pub max_attempts: Option<u32>,
    /// How long one attempt may take, where it is stated; else until the client gives up.
    pub attempt_timeout_ms: Option<u64>,
    /// When a second copy is worth its work, where it is stated.
    pub hedge_after_ms: Option<u64>,
}

/// A rule that a file can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TimingRule {
    /// A time or a number is 0.
    ZeroValue,
    /// An answer is wanted only after the client has given up.
    ObjectiveAfterDeadline,
    /// More attempts than any class may have.
    TooManyAttempts,
    /// The attempts do not fit before the client gives up.
    AttemptsExceedDeadline,
    /// An attempt ends before a connection can be made.
    AttemptShorterThanConnect,
    /// A copy of what may not run twice.
    HedgeOfNonIdempotent,
    /// A copy that cannot be answered in time.
    HedgeTooLate,
    /// A copy of an attempt that has been given up by then.
    HedgeNeverSent,
    /// A copy where one attempt is all there may be.
    HedgeWithoutAttempt,
}

/// One broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimingViolation {
    /// The class.
    pub class: String,
    /// The rule.
    pub rule: TimingRule,
    /// What is wrong, in the figures of the file.
    pub problem: String,
    /// A way to mend it.
    pub remedy: String,
}

impl fmt::Display for TimingViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "class {:?}: {}; {}", self.class, self.problem, self.remedy)
    }
}

/// A moment of the worst case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineEntry {
    /// Milliseconds after the request came.
    pub at_ms: u64,
    /// What happens.
    pub event: String,
}

impl ClassTiming {
    /// Attempts that a request may have.
    pub fn effective_max_attempts(&self) -> u32 {
        self.max_attempts.unwrap_or(self.attempt_limit)
    }

    /// How long all attempts take in the worst case, where one's time is stated: the next begins when the last was silent for
    /// all of it. What may have run is not sent again where that does harm, so there only connections that are never made
    /// can come before.
    fn whole(&self, attempt: u64) -> u64 {
        let before = if self.idempotent { attempt } else { attempt.min(self.connect_timeout_ms) };
        before
            .saturating_mul(u64::from(self.effective_max_attempts().saturating_sub(1)))
            .saturating_add(attempt)
    }

    /// All rules that are broken.
    pub fn violations(&self) -> Vec<TimingViolation> {
        let mut findings = Vec::new();
        let mut find = |rule, text: String, mend: String| {
            findings.push(TimingViolation { class: self.class.clone(), rule, problem: text, remedy: mend });
        };
        let stated = [
            ("wanted_ms", Some(self.latency_objective_ms)),
            ("deadline_ms", Some(self.deadline_ms)),
            ("attempts", self.max_attempts.map(u64::from)),
            ("attempt_ms", self.attempt_timeout_ms),
            ("copy_after_ms", self.hedge_after_ms),
        ];
        for (name, _) in stated.iter().filter(|(_, value)| *value == Some(0)) {
            find(TimingRule::ZeroValue, format!("{name} is 0"), "it must be above 0".into());
        }
        if self.latency_objective_ms > self.deadline_ms {
            let text = format!(
                "an answer wanted within {} ms is given up after {} ms",
                self.latency_objective_ms, self.deadline_ms
            );
            find(
                TimingRule::ObjectiveAfterDeadline,
                text,
                format!("deadline_ms must be {} at least", self.latency_objective_ms),
            );
        }
        if let Some(attempts) = self.max_attempts.filter(|a| *a > self.attempt_limit) {
            let text =
                format!("{attempts} attempts are more than limits.route_steps = {}", self.attempt_limit);
            find(
                TimingRule::TooManyAttempts,
                text,
                format!("state {} at most, or raise the limit", self.attempt_limit),
            );
        }
        if let Some(attempt) = self.attempt_timeout_ms.filter(|a| *a > 0) {
            let whole = self.whole(attempt);
            if whole > self.deadline_ms {
                let text = format!(
                    "{} attempts of {attempt} ms take up to {whole} ms, and the client gives up after {}",
                    self.effective_max_attempts(),
                    self.deadline_ms
                );
                let shorter = self.deadline_ms / u64::from(self.effective_max_attempts().max(1));
                find(
                    TimingRule::AttemptsExceedDeadline,
                    text,
                    format!("state fewer attempts, or attempt_ms = {shorter}"),
                );
            }
            if attempt <= self.connect_timeout_ms {
                let text = format!(
                    "an attempt of {attempt} ms ends before a connection may be made ({} ms)",
                    self.connect_timeout_ms
                );
                find(
                    TimingRule::AttemptShorterThanConnect,
                    text,
                    format!("attempt_ms must be above {}", self.connect_timeout_ms),
                );
            }
        }
        if let Some(copy) = self.hedge_after_ms {
            if !self.idempotent {
                let text = "a second copy of a request that must not run twice".to_owned();
                find(
                    TimingRule::HedgeOfNonIdempotent,
                    text,
                    "take copy_after_ms out, or state repeat = \"safe\"".into(),
                );
            }
            if copy >= self.latency_objective_ms {
                let text = format!(
                    "a copy after {copy} ms comes when the answer is no longer wanted ({} ms)",
                    self.latency_objective_ms
                );
                find(
                    TimingRule::HedgeTooLate,
                    text,
                    format!("copy_after_ms must be below {}", self.latency_objective_ms),
                );
            }
            if let Some(attempt) = self.attempt_timeout_ms.filter(|attempt| copy >= *attempt) {
                let text =
                    format!("a copy after {copy} ms never comes: the attempt is given up after {attempt} ms");
                find(TimingRule::HedgeNeverSent, text, format!("copy_after_ms must be below {attempt}"));
            }
            if self.effective_max_attempts() < 2 {
                let text = "a second copy is an attempt, and one is all there may be".to_owned();
                find(TimingRule::HedgeWithoutAttempt, text, "state attempts = 2 at least".into());
            }
        }
        findings
    }

    /// The course of the worst case, to its last moment.
    pub fn worst_case_timeline(&self) -> Vec<TimelineEntry> {
        let mut course = Vec::new();
        let mut tell = |at, what: String| course.push(TimelineEntry { at_ms: at, event: what });
        let copy = self.hedge_after_ms.filter(|_| self.idempotent);
        let Some(attempt) = self.attempt_timeout_ms else {
            tell(0, "attempt 1 begins and is silent; others follow only where one fails before".into());
            if let Some(copy) = copy {
                tell(copy, "a second copy may be sent".into());
            }
            tell(self.deadline_ms, "the client gives up, and has its answer just before".into());
            return course;
        };
        let mut at = 0;
        for number in 1..=self.effective_max_attempts() {
            tell(at, format!("attempt {number} begins and is silent"));
            if let Some(copy) = copy.filter(|_| number == 1) {
                tell(at + copy, "a second copy may be sent in the place of a later attempt".into());
            }
            let last = number == self.effective_max_attempts();
            at += if self.idempotent || last { attempt } else { attempt.min(self.connect_timeout_ms) };
            let ends = if self.idempotent || last { "is given up" } else { "has had no connection" };
            tell(at, format!("attempt {number} {ends}"));
        }
        tell(at, "the client has its answer".into());
        course
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn good() -> ClassTiming {
        ClassTiming {
            class: "lookup".into(),
            idempotent: true,
            latency_objective_ms: 600,
            deadline_ms: 2_500,
            connect_timeout_ms: 250,
            attempt_limit: 4,
            max_attempts: Some(3),
            attempt_timeout_ms: Some(800),
            hedge_after_ms: Some(200),
        }
    }

    #[test]
    fn each_rule_is_found_by_its_own_name_and_the_mend_mends_it() {
        assert_eq!(good().violations(), []);
        assert_eq!(
            ClassTiming { max_attempts: None, attempt_timeout_ms: None, hedge_after_ms: None, ..good() }
                .violations(),
            []
        );
        let cases: [(TimingRule, ClassTiming, ClassTiming); 13] = [
            (
                TimingRule::ZeroValue,
                ClassTiming { max_attempts: Some(0), hedge_after_ms: None, ..good() },
                good(),
            ),
            (
                TimingRule::ZeroValue,
                ClassTiming { attempt_timeout_ms: Some(0), hedge_after_ms: None, ..good() },
                good(),
            ),
            (
                TimingRule::ObjectiveAfterDeadline,
                ClassTiming { latency_objective_ms: 2_501, ..good() },
                ClassTiming { latency_objective_ms: 2_500, ..good() },
            ),
            (
                TimingRule::TooManyAttempts,
                ClassTiming { max_attempts: Some(5), attempt_timeout_ms: Some(400), ..good() },
                good(),
            ),
            (
                TimingRule::AttemptsExceedDeadline,
                ClassTiming { attempt_timeout_ms: Some(834), ..good() },
                ClassTiming { attempt_timeout_ms: Some(833), ..good() },
            ),
            (TimingRule::AttemptsExceedDeadline, ClassTiming { max_attempts: None, ..good() }, good()),
            (
                TimingRule::AttemptsExceedDeadline,
                ClassTiming { attempt_timeout_ms: Some(u64::MAX), ..good() },
                good(),
            ),
            (
                TimingRule::AttemptsExceedDeadline,
                ClassTiming {
                    idempotent: false,
                    attempt_timeout_ms: Some(2_001),
                    hedge_after_ms: None,
                    ..good()
                },
                ClassTiming {
                    idempotent: false,
                    attempt_timeout_ms: Some(2_000),
                    hedge_after_ms: None,
                    ..good()
                },
            ),
            (
                TimingRule::AttemptShorterThanConnect,
                ClassTiming { attempt_timeout_ms: Some(250), ..good() },
                ClassTiming { attempt_timeout_ms: Some(251), ..good() },
            ),
            (TimingRule::HedgeOfNonIdempotent, ClassTiming { idempotent: false, ..good() }, good()),
            (
                TimingRule::HedgeTooLate,
                ClassTiming { hedge_after_ms: Some(600), ..good() },
                ClassTiming { hedge_after_ms: Some(599), ..good() },
            ),
            (
                TimingRule::HedgeNeverSent,
                ClassTiming { hedge_after_ms: Some(500), attempt_timeout_ms: Some(500), ..good() },
                ClassTiming { hedge_after_ms: Some(499), attempt_timeout_ms: Some(500), ..good() },
            ),
            (
                TimingRule::HedgeWithoutAttempt,
                ClassTiming { max_attempts: Some(1), ..good() },
                ClassTiming { max_attempts: Some(2), ..good() },
            ),
        ];
        for (rule, bad, mended) in cases {
            let found: Vec<TimingRule> = bad.violations().into_iter().map(|f| f.rule).collect();
            assert_eq!(found, [rule], "{bad:?}");
            assert_eq!(mended.violations(), [], "{mended:?}");
        }
    }

    #[test]
    fn all_findings_come_at_once() {
        let bad = ClassTiming {
            idempotent: false,
            latency_objective_ms: 3_000,
            attempt_timeout_ms: Some(100),
            hedge_after_ms: Some(3_000),
            ..good()
        };
        let rules: Vec<TimingRule> = bad.violations().into_iter().map(|f| f.rule).collect();
        assert_eq!(
            rules,
            [
                TimingRule::ObjectiveAfterDeadline,
                TimingRule::AttemptShorterThanConnect,
                TimingRule::HedgeOfNonIdempotent,
                TimingRule::HedgeTooLate,
                TimingRule::HedgeNeverSent
            ]
        );
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(42), ..ProptestConfig::default() })]

        #[test]
        fn the_worst_case_of_what_passes_is_over_when_the_client_gives_up(
            repeatable: bool, wanted in 0..4_000u64, deadline in 0..4_000u64, connect in 0..600u64,
            most_attempts in 1..8u32, attempts in proptest::option::of(0..8u32),
            attempt in proptest::option::of(0..2_000u64), copy_after in proptest::option::of(0..2_000u64),
        ) {
            let class = String::from("c");
            let timing =
                ClassTiming { class, idempotent: repeatable, latency_objective_ms: wanted, deadline_ms: deadline, connect_timeout_ms: connect, attempt_limit: most_attempts, max_attempts: attempts, attempt_timeout_ms: attempt, hedge_after_ms: copy_after };
            let course = timing.worst_case_timeline();
            let over = course.last().map_or(0, |moment| moment.at_ms);
            let begun = course.iter().filter(|m| m.event.ends_with("begins and is silent")).count() as u32;
            if timing.violations().is_empty() {
                prop_assert!(over <= deadline, "{timing:?}: {course:?}");
                prop_assert!(begun <= most_attempts);
                prop_assert!(copy_after.is_none_or(|copy| repeatable && copy < wanted));
            }
        }
    }
}
