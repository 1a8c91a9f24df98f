//! Checks requests: each gets exactly one final answer in time, and one that its client never completes gets an error or a close.

use super::violation_by;
use crate::client::ANSWER_GRACE;
use crate::history::{History, Refusal, RequestRecord};
use fault_harness::rules::{AnswerViolation, ONE_FINAL_ANSWER, answer_fault};
use fault_harness::violation::Violation;
use std::collections::HashSet;
use std::time::Duration;

/// A gatekeeper accepts connections while it serves.
const ACCEPTS_CONNECTIONS: &str = "a gatekeeper that serves takes connections";
/// A request that its client never completes gets an error or a close.
const PARTIAL_REQUEST_ENDED: &str = "an error or a close for half a request";
/// Maximum time until a request that its client never completes gets an error or a close.
const PARTIAL_LIMIT: Duration = Duration::from_millis(3_000);
/// A connection that a kill ends may end this long before or after the record of the kill.
const KILL_MARGIN: Duration = Duration::from_millis(100);

pub(super) fn check(history: &History) -> Vec<Violation> {
    let attempted: HashSet<_> = history.attempts.iter().map(|attempt| attempt.request).collect();
    let mut violations: Vec<Violation> = Vec::new();
    for request in &history.requests {
        let was_attempted = attempted.contains(&request.number);
        violations.extend(check_request(history, request, was_attempted));
    }
    violations.extend(check_partial_requests(history));
    violations.extend(history.refusals.iter().map(|&Refusal { at, gatekeeper }| {
        violation_by(gatekeeper, ACCEPTS_CONNECTIONS, at, "a connection was refused")
    }));
    violations
}

fn check_request(history: &History, request: &RequestRecord, was_attempted: bool) -> Option<Violation> {
    let gatekeeper = request.number.gatekeeper();
    let took = request.ended.saturating_sub(request.sent);
    let due = request.deadline + ANSWER_GRACE + history.harness_delay(request.sent, request.ended);
    let text = match answer_fault(request.outcome, took, due)? {
        AnswerViolation::Foreign => "got an answer that does not belong to it",
        AnswerViolation::Closed if was_attempted => {
            "was forwarded, and its connection closed without an answer"
        }
        AnswerViolation::Closed if request.is_first_on_connection => {
            "was the first on its connection, which was closed without an answer"
        }
        // The gatekeeper closed an idle connection before it read the request.
        AnswerViolation::Closed => return None,
        // A delayed client may have stopped waiting before the answer was due.
        AnswerViolation::Missing if took < due => return None,
        AnswerViolation::Missing | AnswerViolation::Late => {
            "had no answer by its deadline and half a second more"
        }
    };
    let from = request.sent.saturating_sub(KILL_MARGIN);
    if history.was_killed(gatekeeper, from, request.ended + KILL_MARGIN) {
        return None;
    }
    let resent = if request.was_resent { ", sent again on a new connection," } else { "" };
    let text = format!(
        "request {} with a deadline of {} ms{resent} {text} ({:.3} s after it was sent)",
        request.number.request_id(),
        request.deadline.as_millis(),
        took.as_secs_f64()
    );
    Some(violation_by(gatekeeper, ONE_FINAL_ANSWER, request.sent, text))
}

fn check_partial_requests(history: &History) -> impl Iterator<Item = Violation> {
    history.partial_requests.iter().filter_map(|partial| {
        let gatekeeper = partial.gatekeeper;
        let ended = partial.ended.unwrap_or(partial.stopped + 2 * PARTIAL_LIMIT);
        let slack = history.harness_delay(partial.stopped, ended)
            + history.suspended_time(gatekeeper, partial.stopped, ended);
        let took = ended.saturating_sub(partial.stopped);
        let text = format!("an incomplete request got neither for {:.3} s or more", took.as_secs_f64());
        (took > PARTIAL_LIMIT + slack)
            .then(|| violation_by(gatekeeper, PARTIAL_REQUEST_ENDED, partial.stopped, text))
    })
}
