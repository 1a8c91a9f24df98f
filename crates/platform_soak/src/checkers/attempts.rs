//! Checks attempts: none begins after its client has disconnected, none states a later deadline than its request, and retries
//! follow the effect of the class and the maximum number of attempts.

use super::{MAX_SCHEDULING_DELAY, violation_by};
use crate::history::{AttemptRecord, History, Moment, RequestNumber, RequestRecord};
use crate::settings::{Effect, Settings};
use fault_harness::stand_ins::AttemptOutcome;
use fault_harness::violation::Violation;
use std::collections::HashMap;
use std::time::Duration;

/// Longest time after a client closes its connection in which an attempt of its request may still begin.
const DISCONNECT_LIMIT: Duration = Duration::from_millis(100);
/// Slack for loopback transport and the scheduling of the stand-ins' threads.
const TRANSPORT_SLACK: Duration = Duration::from_millis(5);

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
        // No record is kept of a request whose connection ended while it was sent.
        let Some(request) = requests.get(&number) else { continue };
        for attempt in &attempts {
            violations.extend(check_client_connected(history, request, attempt));
            violations.extend(check_stated_deadline(history, request, attempt));
        }
        let Some(class) = settings.classes.get(request.class) else { continue };
        // A request that was sent again may be forwarded by two processes, so its attempts do not count together.
        if !request.was_resent {
            violations.extend(check_retries(history, class.effect, &attempts));
            violations.extend(check_attempt_count(settings, &attempts));
        }
    }
    violations
}

fn violation(rule: &'static str, attempt: &AttemptRecord, text: String) -> Violation {
    let text = format!("request {} at s-{:04} {text}", attempt.request.request_id(), attempt.backend);
    violation_by(attempt.request.gatekeeper(), rule, attempt.arrived, text)
}

fn check_client_connected(
    history: &History,
    request: &RequestRecord,
    attempt: &AttemptRecord,
) -> Option<Violation> {
    let disconnected = request.disconnected?;
    let gatekeeper = attempt.request.gatekeeper();
    let slack = TRANSPORT_SLACK
        + history.harness_delay(disconnected, attempt.arrived)
        + history.suspended_time(gatekeeper, disconnected, attempt.arrived);
    let after = attempt.began.checked_sub(disconnected)?;
    let text = format!("began {:.3} s after its client had disconnected", after.as_secs_f64());
    (after > DISCONNECT_LIMIT + slack).then(|| violation("nothing for a client that has gone", attempt, text))
}

fn check_stated_deadline(
    history: &History,
    request: &RequestRecord,
    attempt: &AttemptRecord,
) -> Option<Violation> {
    let deadline = request.sent + request.deadline;
    let remaining = deadline.saturating_sub(attempt.arrived);
    let slack = MAX_SCHEDULING_DELAY + TRANSPORT_SLACK + history.harness_delay(request.sent, attempt.arrived);
    let text = format!(
        "states {} ms until the deadline, but only {} ms remain for its client",
        attempt.time_left.as_millis(),
        remaining.as_millis()
    );
    (attempt.time_left > remaining + slack).then(|| violation("the deadline passed on", attempt, text))
}

/// Whether the backend may have run the request: only a rejection proves that it did not.
fn may_have_run(attempt: &AttemptRecord) -> bool {
    attempt.outcome != AttemptOutcome::Rejected
}

fn check_retries(history: &History, effect: Effect, attempts: &[&AttemptRecord]) -> Vec<Violation> {
    if effect == Effect::Idempotent {
        return Vec::new();
    }
    let mut violations = Vec::new();
    for (index, attempt) in attempts.iter().enumerate().skip(1) {
        let earlier = &attempts[..index];
        if let Some(first) = earlier.iter().find(|earlier| may_have_run(earlier)) {
            violations.extend(check_retry(history, effect, first, attempt));
        }
        let is_in_flight = |earlier: &&&AttemptRecord| {
            earlier.ended.is_none_or(|ended| ended > attempt.arrived + TRANSPORT_SLACK)
        };
        if effect == Effect::Unsafe && earlier.iter().any(|earlier| is_in_flight(&earlier)) {
            violations.push(violation(
                "never two attempts out",
                attempt,
                "arrived while another attempt was in flight".to_owned(),
            ));
        }
    }
    violations
}

fn check_retry(
    history: &History,
    effect: Effect,
    first: &AttemptRecord,
    attempt: &AttemptRecord,
) -> Option<Violation> {
    let after = attempt.arrived.saturating_sub(first.began);
    match effect {
        Effect::Idempotent => None,
        Effect::Unsafe => {
            let text = format!(
                "was retried after {:.3} s, though an earlier attempt may have run",
                after.as_secs_f64()
            );
            Some(violation("an unsafe class is repeated only if it never ran", attempt, text))
        }
        Effect::Keyed { window } => {
            let slack = TRANSPORT_SLACK + history.harness_delay(first.began, attempt.arrived);
            let text = format!(
                "was retried after {} ms, outside the idempotency window of {} ms",
                after.as_millis(),
                window.as_millis()
            );
            (after > window + slack).then(|| violation("the window of a key", attempt, text))
        }
    }
}

fn check_attempt_count(settings: &Settings, attempts: &[&AttemptRecord]) -> Option<Violation> {
    let last = attempts.get(settings.max_attempts as usize)?;
    let text = format!("was attempt {} of at most {}", attempts.len(), settings.max_attempts);
    Some(violation("the number of attempts", last, text))
}

/// The arrival of the first attempt of each request, in the order of time.
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
