//! Violations of each rule, and the worst case of classes without violations.

use super::*;
use proptest::prelude::*;

fn valid_class() -> ClassTiming {
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

/// The rules that a class violates.
fn violated_rules(class: &ClassTiming) -> Vec<TimingRule> {
    class.violations().into_iter().map(|violation| violation.rule).collect()
}

/// Asserts that `invalid` violates only this rule, and that `corrected`, which follows the remedy, violates none.
fn assert_violation(rule: TimingRule, invalid: &ClassTiming, corrected: &ClassTiming) {
    assert_eq!(violated_rules(invalid), [rule], "{invalid:?}");
    assert_eq!(corrected.violations(), [], "{corrected:?}");
}

#[test]
fn a_valid_class_violates_no_rule() {
    assert_eq!(valid_class().violations(), []);
    let without_optional_values =
        ClassTiming { max_attempts: None, attempt_timeout_ms: None, hedge_after_ms: None, ..valid_class() };
    assert_eq!(without_optional_values.violations(), []);
}

#[test]
fn invalid_times_and_attempts_violate_their_rule_and_the_remedy_corrects_them() {
    let attempts = |count| ClassTiming { max_attempts: Some(count), ..valid_class() };
    let timeout = |timeout| ClassTiming { attempt_timeout_ms: Some(timeout), ..valid_class() };
    let objective = |objective| ClassTiming { latency_objective_ms: objective, ..valid_class() };
    let unhedged = |class| ClassTiming { hedge_after_ms: None, ..class };
    let non_idempotent = |class| ClassTiming { idempotent: false, ..unhedged(class) };
    for (rule, invalid, corrected) in [
        (TimingRule::ZeroValue, unhedged(attempts(0)), valid_class()),
        (TimingRule::ZeroValue, unhedged(timeout(0)), valid_class()),
        (TimingRule::ObjectiveAfterDeadline, objective(2_501), objective(2_500)),
        (TimingRule::TooManyAttempts, ClassTiming { max_attempts: Some(5), ..timeout(400) }, valid_class()),
        (TimingRule::AttemptsExceedDeadline, timeout(834), timeout(833)),
        (
            TimingRule::AttemptsExceedDeadline,
            ClassTiming { max_attempts: None, ..valid_class() },
            valid_class(),
        ),
        (TimingRule::AttemptsExceedDeadline, timeout(u64::MAX), valid_class()),
        (TimingRule::AttemptsExceedDeadline, non_idempotent(timeout(2_001)), non_idempotent(timeout(2_000))),
        (TimingRule::AttemptShorterThanConnect, timeout(250), timeout(251)),
    ] {
        assert_violation(rule, &invalid, &corrected);
    }
}

#[test]
fn invalid_hedging_violates_its_rule_and_the_remedy_corrects_it() {
    let hedge = |after| ClassTiming { hedge_after_ms: Some(after), ..valid_class() };
    let timeout_500 = |class| ClassTiming { attempt_timeout_ms: Some(500), ..class };
    let attempts = |count| ClassTiming { max_attempts: Some(count), ..valid_class() };
    for (rule, invalid, corrected) in [
        (TimingRule::HedgeOfNonIdempotent, ClassTiming { idempotent: false, ..valid_class() }, valid_class()),
        (TimingRule::HedgeTooLate, hedge(600), hedge(599)),
        (TimingRule::HedgeNeverSent, timeout_500(hedge(500)), timeout_500(hedge(499))),
        (TimingRule::HedgeWithoutAttempt, attempts(1), attempts(2)),
    ] {
        assert_violation(rule, &invalid, &corrected);
    }
}

#[test]
fn reports_all_violations_at_once() {
    let invalid = ClassTiming {
        idempotent: false,
        latency_objective_ms: 3_000,
        attempt_timeout_ms: Some(100),
        hedge_after_ms: Some(3_000),
        ..valid_class()
    };
    assert_eq!(
        violated_rules(&invalid),
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
    fn the_worst_case_of_a_valid_class_ends_before_its_deadline(
        idempotent: bool, latency_objective_ms in 0..4_000u64, deadline_ms in 0..4_000u64,
        connect_timeout_ms in 0..600u64, attempt_limit in 1..8u32,
        max_attempts in proptest::option::of(0..8u32),
        attempt_timeout_ms in proptest::option::of(0..2_000u64),
        hedge_after_ms in proptest::option::of(0..2_000u64),
    ) {
        let timing = ClassTiming {
            class: "c".into(),
            idempotent,
            latency_objective_ms,
            deadline_ms,
            connect_timeout_ms,
            attempt_limit,
            max_attempts,
            attempt_timeout_ms,
            hedge_after_ms,
        };
        let timeline = timing.worst_case_timeline();
        let end_ms = timeline.last().map_or(0, |entry| entry.at_ms);
        let is_start = |entry: &&crate::TimelineEntry| entry.event.ends_with("begins and is silent");
        let attempts = timeline.iter().filter(is_start).count() as u32;
        if timing.violations().is_empty() {
            prop_assert!(end_ms <= deadline_ms, "{timing:?}: {timeline:?}");
            prop_assert!(attempts <= attempt_limit);
            prop_assert!(hedge_after_ms.is_none_or(|after| idempotent && after < latency_objective_ms));
        }
    }
}
