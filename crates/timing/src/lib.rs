//! What a file states of the timing of a class: whether it can be honoured, and the course of its worst case. No file, clock
//! or socket is in here, so that every rule can be tested by itself.
//!
//! The worst case is that each attempt is silent for all of its time, the making of its connection included. What a file
//! promises must be over by then before the client gives up.

use std::fmt;

/// What is stated of one class. Times are milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The class.
    pub class: String,
    /// A request that may have run may be sent again.
    pub repeatable: bool,
    /// An answer is wanted by then.
    pub wanted: u64,
    /// The client gives up then.
    pub deadline: u64,
    /// A connection that is not made by then has failed.
    pub connect: u64,
    /// The most attempts of any class.
    pub most_attempts: u32,
    /// Attempts of this class, where it states them.
    pub attempts: Option<u32>,
    /// How long one attempt may take, where it is stated; else until the client gives up.
    pub attempt: Option<u64>,
    /// When a second copy is worth its work, where it is stated.
    pub copy_after: Option<u64>,
}

/// A rule that a file can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// A time or a number is 0.
    Zero,
    /// An answer is wanted only after the client has given up.
    WantedTooLate,
    /// More attempts than any class may have.
    TooManyAttempts,
    /// The attempts do not fit before the client gives up.
    DoesNotFit,
    /// An attempt ends before a connection can be made.
    ShorterThanConnect,
    /// A copy of what may not run twice.
    CopyOfUnsafe,
    /// A copy that cannot be answered in time.
    CopyTooLate,
    /// A copy of an attempt that has been given up by then.
    CopyNeverDue,
    /// A copy where one attempt is all there may be.
    CopyWithoutAttempt,
}

/// One broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The class.
    pub class: String,
    /// The rule.
    pub rule: Rule,
    /// What is wrong, in the figures of the file.
    pub text: String,
    /// A way to mend it.
    pub mend: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "class {:?}: {}; {}", self.class, self.text, self.mend)
    }
}

/// A moment of the worst case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Milliseconds after the request came.
    pub at: u64,
    /// What happens.
    pub what: String,
}

impl Timing {
    /// Attempts that a request may have.
    pub fn attempts(&self) -> u32 {
        self.attempts.unwrap_or(self.most_attempts)
    }

    /// How long all attempts take in the worst case, where one's time is stated: the next begins when the last was silent for
    /// all of it. What may have run is not sent again where that does harm, so there only connections that are never made
    /// can come before.
    fn whole(&self, attempt: u64) -> u64 {
        let before = if self.repeatable { attempt } else { attempt.min(self.connect) };
        before.saturating_mul(u64::from(self.attempts().saturating_sub(1))).saturating_add(attempt)
    }

    /// All rules that are broken.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut find = |rule, text: String, mend: String| {
            findings.push(Finding { class: self.class.clone(), rule, text, mend });
        };
        let stated = [
            ("wanted_ms", Some(self.wanted)),
            ("deadline_ms", Some(self.deadline)),
            ("attempts", self.attempts.map(u64::from)),
            ("attempt_ms", self.attempt),
            ("copy_after_ms", self.copy_after),
        ];
        for (name, _) in stated.iter().filter(|(_, value)| *value == Some(0)) {
            find(Rule::Zero, format!("{name} is 0"), "it must be above 0".into());
        }
        if self.wanted > self.deadline {
            let text =
                format!("an answer wanted within {} ms is given up after {} ms", self.wanted, self.deadline);
            find(Rule::WantedTooLate, text, format!("deadline_ms must be {} at least", self.wanted));
        }
        if let Some(attempts) = self.attempts.filter(|a| *a > self.most_attempts) {
            let text =
                format!("{attempts} attempts are more than limits.route_steps = {}", self.most_attempts);
            find(
                Rule::TooManyAttempts,
                text,
                format!("state {} at most, or raise the limit", self.most_attempts),
            );
        }
        if let Some(attempt) = self.attempt.filter(|a| *a > 0) {
            let whole = self.whole(attempt);
            if whole > self.deadline {
                let text = format!(
                    "{} attempts of {attempt} ms take up to {whole} ms, and the client gives up after {}",
                    self.attempts(),
                    self.deadline
                );
                let shorter = self.deadline / u64::from(self.attempts().max(1));
                find(Rule::DoesNotFit, text, format!("state fewer attempts, or attempt_ms = {shorter}"));
            }
            if attempt <= self.connect {
                let text = format!(
                    "an attempt of {attempt} ms ends before a connection may be made ({} ms)",
                    self.connect
                );
                find(Rule::ShorterThanConnect, text, format!("attempt_ms must be above {}", self.connect));
            }
        }
        if let Some(copy) = self.copy_after {
            if !self.repeatable {
                let text = "a second copy of a request that must not run twice".to_owned();
                find(Rule::CopyOfUnsafe, text, "take copy_after_ms out, or state repeat = \"safe\"".into());
            }
            if copy >= self.wanted {
                let text = format!(
                    "a copy after {copy} ms comes when the answer is no longer wanted ({} ms)",
                    self.wanted
                );
                find(Rule::CopyTooLate, text, format!("copy_after_ms must be below {}", self.wanted));
            }
            if let Some(attempt) = self.attempt.filter(|attempt| copy >= *attempt) {
                let text =
                    format!("a copy after {copy} ms never comes: the attempt is given up after {attempt} ms");
                find(Rule::CopyNeverDue, text, format!("copy_after_ms must be below {attempt}"));
            }
            if self.attempts() < 2 {
                let text = "a second copy is an attempt, and one is all there may be".to_owned();
                find(Rule::CopyWithoutAttempt, text, "state attempts = 2 at least".into());
            }
        }
        findings
    }

    /// The course of the worst case, to its last moment.
    pub fn worst_case(&self) -> Vec<Moment> {
        let mut course = Vec::new();
        let mut tell = |at, what: String| course.push(Moment { at, what });
        let copy = self.copy_after.filter(|_| self.repeatable);
        let Some(attempt) = self.attempt else {
            tell(0, "attempt 1 begins and is silent; others follow only where one fails before".into());
            if let Some(copy) = copy {
                tell(copy, "a second copy may be sent".into());
            }
            tell(self.deadline, "the client gives up, and has its answer just before".into());
            return course;
        };
        let mut at = 0;
        for number in 1..=self.attempts() {
            tell(at, format!("attempt {number} begins and is silent"));
            if let Some(copy) = copy.filter(|_| number == 1) {
                tell(at + copy, "a second copy may be sent in the place of a later attempt".into());
            }
            let last = number == self.attempts();
            at += if self.repeatable || last { attempt } else { attempt.min(self.connect) };
            let ends = if self.repeatable || last { "is given up" } else { "has had no connection" };
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

    fn good() -> Timing {
        Timing {
            class: "lookup".into(),
            repeatable: true,
            wanted: 600,
            deadline: 2_500,
            connect: 250,
            most_attempts: 4,
            attempts: Some(3),
            attempt: Some(800),
            copy_after: Some(200),
        }
    }

    #[test]
    fn each_rule_is_found_by_its_own_name_and_the_mend_mends_it() {
        assert_eq!(good().check(), []);
        assert_eq!(Timing { attempts: None, attempt: None, copy_after: None, ..good() }.check(), []);
        let cases: [(Rule, Timing, Timing); 13] = [
            (Rule::Zero, Timing { attempts: Some(0), copy_after: None, ..good() }, good()),
            (Rule::Zero, Timing { attempt: Some(0), copy_after: None, ..good() }, good()),
            (Rule::WantedTooLate, Timing { wanted: 2_501, ..good() }, Timing { wanted: 2_500, ..good() }),
            (Rule::TooManyAttempts, Timing { attempts: Some(5), attempt: Some(400), ..good() }, good()),
            (
                Rule::DoesNotFit,
                Timing { attempt: Some(834), ..good() },
                Timing { attempt: Some(833), ..good() },
            ),
            (Rule::DoesNotFit, Timing { attempts: None, ..good() }, good()),
            (Rule::DoesNotFit, Timing { attempt: Some(u64::MAX), ..good() }, good()),
            (
                Rule::DoesNotFit,
                Timing { repeatable: false, attempt: Some(2_001), copy_after: None, ..good() },
                Timing { repeatable: false, attempt: Some(2_000), copy_after: None, ..good() },
            ),
            (
                Rule::ShorterThanConnect,
                Timing { attempt: Some(250), ..good() },
                Timing { attempt: Some(251), ..good() },
            ),
            (Rule::CopyOfUnsafe, Timing { repeatable: false, ..good() }, good()),
            (
                Rule::CopyTooLate,
                Timing { copy_after: Some(600), ..good() },
                Timing { copy_after: Some(599), ..good() },
            ),
            (
                Rule::CopyNeverDue,
                Timing { copy_after: Some(500), attempt: Some(500), ..good() },
                Timing { copy_after: Some(499), attempt: Some(500), ..good() },
            ),
            (
                Rule::CopyWithoutAttempt,
                Timing { attempts: Some(1), ..good() },
                Timing { attempts: Some(2), ..good() },
            ),
        ];
        for (rule, bad, mended) in cases {
            let found: Vec<Rule> = bad.check().into_iter().map(|f| f.rule).collect();
            assert_eq!(found, [rule], "{bad:?}");
            assert_eq!(mended.check(), [], "{mended:?}");
        }
    }

    #[test]
    fn all_findings_come_at_once() {
        let bad = Timing {
            repeatable: false,
            wanted: 3_000,
            attempt: Some(100),
            copy_after: Some(3_000),
            ..good()
        };
        let rules: Vec<Rule> = bad.check().into_iter().map(|f| f.rule).collect();
        assert_eq!(
            rules,
            [
                Rule::WantedTooLate,
                Rule::ShorterThanConnect,
                Rule::CopyOfUnsafe,
                Rule::CopyTooLate,
                Rule::CopyNeverDue
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
                Timing { class, repeatable, wanted, deadline, connect, most_attempts, attempts, attempt, copy_after };
            let course = timing.worst_case();
            let over = course.last().map_or(0, |moment| moment.at);
            let begun = course.iter().filter(|m| m.what.ends_with("begins and is silent")).count() as u32;
            if timing.check().is_empty() {
                prop_assert!(over <= deadline, "{timing:?}: {course:?}");
                prop_assert!(begun <= most_attempts);
                prop_assert!(copy_after.is_none_or(|copy| repeatable && copy < wanted));
            }
        }
    }
}
