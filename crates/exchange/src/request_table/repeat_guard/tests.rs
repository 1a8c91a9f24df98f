//! Which rules permit a further attempt, and changes of the settings.

use super::*;
use policy::BackendId;

const NOW: Timestamp = Timestamp::from_micros(10_000_000);
const WINDOW: Micros = 500_000;
const RULES: [RepeatRule; 3] = [RepeatRule::Always, RepeatRule::Within(WINDOW), RepeatRule::IfNeverRan];

/// An attempt that was sent `age` before [`NOW`].
fn attempt(age: Micros, outcome: Option<Outcome>) -> InFlightAttempt {
    InFlightAttempt { backend: BackendId(1), sent_at: NOW.saturating_sub(age), outcome }
}

fn permitted(earlier: &[InFlightAttempt]) -> [bool; 3] {
    RULES.map(|rule| rule.permits(NOW, earlier))
}

#[test]
fn each_rule_permits_an_attempt_after_attempts_that_never_ran() {
    let earlier = [attempt(2 * WINDOW, Some(Outcome::Rejected)), attempt(0, Some(Outcome::ConnectFailed))];
    assert_eq!(permitted(&earlier), [true; 3]);
}

#[test]
fn the_rule_decides_on_an_attempt_after_one_that_may_have_run() {
    for outcome in [None, Some(Outcome::Timeout), Some(Outcome::Reset), Some(Outcome::Error)] {
        assert_eq!(permitted(&[attempt(0, outcome)]), [true, true, false], "{outcome:?}");
    }
}

#[test]
fn the_idempotency_window_leaves_time_for_a_scheduling_delay() {
    let latest = WINDOW - MAX_SCHEDULING_DELAY;
    assert_eq!(permitted(&[attempt(latest, None)]), [true, true, false]);
    assert_eq!(permitted(&[attempt(latest + 1, None)]), [true, false, false]);
    let earlier = [attempt(latest + 1, Some(Outcome::NotSent)), attempt(latest, None)];
    assert_eq!(
        permitted(&earlier),
        [true, true, false],
        "the window starts with an attempt that may have run"
    );
}

#[test]
fn classes_that_are_missing_in_new_settings_keep_their_rules() {
    let class = |idempotency| RequestClass { idempotency, ..RequestClass::default() };
    let older = [class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)];
    let mut rules = RepeatRules::of_classes(&older);
    rules.replace_rules(RepeatRules::of_classes(&[class(Idempotency::NonIdempotent)]));
    assert_eq!(rules.rules, [RepeatRule::IfNeverRan; 2]);
    rules.replace_rules(RepeatRules::of_classes(&[older[0].clone(), older[0].clone(), older[1].clone()]));
    assert_eq!(rules.rules, [RepeatRule::Always, RepeatRule::Always, RepeatRule::IfNeverRan]);
}
