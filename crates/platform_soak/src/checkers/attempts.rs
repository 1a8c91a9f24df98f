//! Attempts: none for a client that has disconnected, none with a later deadline than its request, and retries only as the class permits.

use super::{MAX_SCHEDULING_DELAY, violation_by};
use crate::history::{AttemptRecord, History, Moment, RequestNumber, RequestRecord};
use crate::settings::{Effect, Settings};
use fault_harness::stand_ins::AttemptOutcome;
use fault_harness::violation::Violation;
use std::collections::HashMap;
use std::time::Duration;

/// No attempt begins later than this after its client has closed its connection.
const GONE_LIMIT: Duration = Duration::from_millis(100);
/// Slack for loopback and the scheduling of the stand-ins' threads.
const TRANSPORT: Duration = Duration::from_millis(5);

pub(super) fn check(history: &History, settings: &Settings) -> Vec<Violation> {
    let requests: HashMap<RequestNumber, &RequestRecord> =
        history.requests.iter().map(|request| (request.number, request)).collect();
    let mut by_request: HashMap<RequestNumber, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &history.attempts {
        by_request.entry(attempt.request).or_default().push(attempt);
    }
    let mut violations = Vec::new();
    for (number, mut attempts) in by_request {
        attempts.sort_by_key(|attempt| attempt.arrived);
        // A request without a record was resent and lost with its gatekeeper.
        let Some(request) = requests.get(&number) else { continue };
        for attempt in &attempts {
            violations.extend(check_client_left(history, request, attempt));
            violations.extend(check_time_left(history, request, attempt));
        }
        let Some(class) = settings.classes.get(request.class) else { continue };
        // A request that was resent may have one attempt each from two processes.
        if !request.was_resent {
            violations.extend(check_repeats(history, class.effect, &attempts));
            violations.extend(check_count(settings, &attempts));
        }
    }
    violations
}

fn violation(rule: &'static str, attempt: &AttemptRecord, text: String) -> Violation {
    let text = format!("request {} at s-{:04} {text}", attempt.request.text(), attempt.backend);
    violation_by(attempt.request.gatekeeper(), rule, attempt.arrived, text)
}

fn check_client_left(
    history: &History,
    request: &RequestRecord,
    attempt: &AttemptRecord,
) -> Option<Violation> {
    let left = request.left?;
    let gatekeeper = attempt.request.gatekeeper();
    let slack = TRANSPORT
        + history.harness_delay(left, attempt.arrived)
        + history.suspended(gatekeeper, left, attempt.arrived);
    let after = attempt.began.checked_sub(left)?;
    let text = format!("began {:.3} s after its client had closed", after.as_secs_f64());
    (after > GONE_LIMIT + slack).then(|| violation("nothing for a client that has gone", attempt, text))
}

fn check_time_left(history: &History, request: &RequestRecord, attempt: &AttemptRecord) -> Option<Violation> {
    let ends = request.sent + request.time;
    let left = ends.saturating_sub(attempt.arrived);
    let slack = MAX_SCHEDULING_DELAY + TRANSPORT + history.harness_delay(request.sent, attempt.arrived);
    let text = format!(
        "was told {} ms, and its client had {} ms left",
        attempt.time_left.as_millis(),
        left.as_millis()
    );
    (attempt.time_left > left + slack).then(|| violation("the deadline passed on", attempt, text))
}

fn may_have_run(attempt: &AttemptRecord) -> bool {
    attempt.outcome != AttemptOutcome::Rejected
}

fn check_repeats(history: &History, effect: Effect, attempts: &[&AttemptRecord]) -> Vec<Violation> {
    if effect == Effect::Idempotent {
        return Vec::new();
    }
    let mut violations = Vec::new();
    for (index, attempt) in attempts.iter().enumerate().skip(1) {
        let earlier = &attempts[..index];
        if let Some(first) = earlier.iter().find(|earlier| may_have_run(earlier)) {
            violations.extend(check_repeat(history, effect, first, attempt));
        }
        let is_out =
            |earlier: &&&AttemptRecord| earlier.ended.is_none_or(|ended| ended > attempt.arrived + TRANSPORT);
        if effect == Effect::Unsafe && earlier.iter().any(|earlier| is_out(&earlier)) {
            violations.push(violation("never two attempts out", attempt, "came beside another".to_owned()));
        }
    }
    violations
}

fn check_repeat(
    history: &History,
    effect: Effect,
    first: &AttemptRecord,
    attempt: &AttemptRecord,
) -> Option<Violation> {
    let after = attempt.arrived.saturating_sub(first.began);
    match effect {
        Effect::Idempotent => None,
        Effect::Unsafe => {
            let text = format!("was repeated after {:.3} s", after.as_secs_f64());
            Some(violation("an unsafe class is repeated only if it never ran", attempt, text))
        }
        Effect::Keyed { window } => {
            let slack = TRANSPORT + history.harness_delay(first.began, attempt.arrived);
            let text = format!("was repeated after {} of {} ms", after.as_millis(), window.as_millis());
            (after > window + slack).then(|| violation("the window of a key", attempt, text))
        }
    }
}

fn check_count(settings: &Settings, attempts: &[&AttemptRecord]) -> Option<Violation> {
    let last = attempts.get(settings.max_attempts as usize)?;
    let text = format!("was attempt {} of at most {}", attempts.len(), settings.max_attempts);
    Some(violation("the number of attempts", last, text))
}

/// The time of the first attempt of each request, in order.
pub(super) fn first_arrivals(history: &History) -> Vec<(Moment, RequestNumber)> {
    let mut first: HashMap<RequestNumber, Moment> = HashMap::new();
    for attempt in &history.attempts {
        let at = first.entry(attempt.request).or_insert(attempt.arrived);
        *at = (*at).min(attempt.arrived);
    }
    let mut arrivals: Vec<_> = first.into_iter().map(|(number, at)| (at, number)).collect();
    arrivals.sort();
    arrivals
}
