//! Tests each rule with cases that keep it and cases that break it.

use super::*;
use crate::outcome::Outcome;
use std::time::Duration;

const DUE: Duration = Duration::from_millis(500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_answer_must_belong_to_the_request_and_arrive_in_time() {
    for (outcome, took, fault) in [
        (Outcome::Served, DUE, None),
        (Outcome::Rejected, DUE, None),
        (Outcome::Served, DUE + ms(1), Some(AnswerViolation::Late)),
        (Outcome::Rejected, DUE + ms(1), Some(AnswerViolation::Late)),
        (Outcome::Failed, DUE + ms(1), Some(AnswerViolation::Late)),
        (Outcome::Foreign, ms(1), Some(AnswerViolation::Foreign)),
        (Outcome::Closed, ms(1), Some(AnswerViolation::Closed)),
        (Outcome::Unanswered, ms(1), Some(AnswerViolation::Missing)),
        (Outcome::NotAccepted, DUE * 2, None),
        (Outcome::Left, DUE * 2, None),
    ] {
        assert_eq!(answer_fault(outcome, took, DUE), fault, "{outcome:?} after {took:?}");
    }
}

#[test]
fn admissions_may_use_up_the_burst_and_the_rate() {
    let at = |at_ms, units| Admission { time: ms(at_ms), units };
    let permitted = [at(1_000, 10.0), at(1_500, 5.0), at(9_000, 10.0)];
    assert_eq!(largest_excess(10.0, 10.0, &permitted, |_| 0.0), None);
    assert_eq!(largest_excess(10.0, 10.0, &[], |_| 0.0), None);
}

#[test]
fn the_largest_excess_over_what_is_allowed_is_found() {
    let at = |at_ms, units| Admission { time: ms(at_ms), units };
    let broken = [at(0, 12.0), at(0, 1.0), at(1_000, 5.0)];
    let excess = largest_excess(10.0, 10.0, &broken, |_| 1.0);
    assert_eq!(excess, Some(Excess { time: ms(0), units: 3.0, allowed: 1.0 }));
    assert_eq!(largest_excess(10.0, 10.0, &broken, |_| 3.0), None);
    // The tolerated excess may change with time.
    let allowed = |at| if at == Duration::ZERO { 3.0 } else { -5.0 };
    assert_eq!(largest_excess(10.0, 10.0, &broken, allowed).map(|excess| excess.time), Some(ms(1_000)));
}

#[test]
fn an_attempt_is_late_after_the_grace_period_and_before_the_end_of_the_span() {
    let span = IneligibleSpan { from: ms(1_000), to: ms(5_000) };
    for (attempt, lateness) in [
        (ms(900), None),
        (ms(1_500), None),
        (ms(1_501), Some(ms(501))),
        (ms(4_999), Some(ms(3_999))),
        (ms(5_000), None),
    ] {
        assert_eq!(span.lateness(attempt, DUE), lateness, "{attempt:?}");
    }
}

#[test]
fn an_exit_breaks_a_rule_unless_it_was_requested_and_clean() {
    for (request, exit_code, rule) in [
        (ExitRequest::None, 0, Some(NO_UNREQUESTED_EXIT)),
        (ExitRequest::None, -9, Some(NO_UNREQUESTED_EXIT)),
        (ExitRequest::ShutDown, 0, None),
        (ExitRequest::ShutDown, 101, Some(CLEAN_EXIT)),
        (ExitRequest::ShutDown, -15, Some(CLEAN_EXIT)),
        (ExitRequest::Kill, -9, None),
        (ExitRequest::Kill, 0, None),
    ] {
        assert_eq!(rule_broken_by_exit(request, exit_code), rule, "{request:?} {exit_code}");
    }
}
