//! Exactly one final answer for each request, in time; an error or a close for what never becomes whole.

use super::Violation;
use crate::client::ANSWER_GRACE;
use crate::history::{History, RequestOutcome, RequestRecord};
use std::collections::HashSet;
use std::time::Duration;

/// A request that never becomes whole has its error or close within this.
const PARTIAL_LIMIT: Duration = Duration::from_millis(3_000);
/// Around a kill its connections end.
const KILL_MARGIN: Duration = Duration::from_millis(100);

pub(super) fn check(history: &History) -> Vec<Violation> {
    let attempted: HashSet<_> = history.attempts.iter().map(|attempt| attempt.request).collect();
    let mut violations: Vec<Violation> = Vec::new();
    for request in &history.requests {
        let was_attempted = attempted.contains(&request.number);
        violations.extend(check_request(history, request, was_attempted));
    }
    violations.extend(check_partial_requests(history));
    violations.extend(history.refusals.iter().map(|&(at, gatekeeper)| Violation {
        rule: "a gatekeeper that serves takes connections",
        at,
        gatekeeper: Some(gatekeeper),
        text: "a connection was refused".to_owned(),
    }));
    violations
}

fn check_request(history: &History, request: &RequestRecord, was_attempted: bool) -> Option<Violation> {
    let gatekeeper = request.number.gatekeeper();
    let from = request.sent.saturating_sub(KILL_MARGIN);
    let to = request.ended + KILL_MARGIN;
    let text = match request.outcome {
        RequestOutcome::WrongValue => "got a value that is not its own",
        RequestOutcome::Closed if was_attempted => {
            "was forwarded, and its connection closed without an answer"
        }
        RequestOutcome::Closed if request.is_first_on_connection => {
            "was the first on its connection, which was closed without an answer"
        }
        RequestOutcome::Unanswered => {
            let late = request.time + ANSWER_GRACE + history.harness_delay(request.sent, request.ended);
            if request.ended.saturating_sub(request.sent) < late {
                return None;
            }
            "had no answer half a second after its time"
        }
        _ => return None,
    };
    if history.was_killed(gatekeeper, from, to) {
        return None;
    }
    let resent = if request.was_resent { ", sent once more" } else { "" };
    Some(Violation {
        rule: "one final answer in time",
        at: request.sent,
        gatekeeper: Some(gatekeeper),
        text: format!(
            "request {} of {} ms{resent} {text} ({:.3} s later)",
            request.number.text(),
            request.time.as_millis(),
            request.ended.saturating_sub(request.sent).as_secs_f64()
        ),
    })
}

fn check_partial_requests(history: &History) -> impl Iterator<Item = Violation> {
    history.partial_requests.iter().filter_map(|partial| {
        let gatekeeper = partial.gatekeeper;
        let ended = partial.ended.unwrap_or(partial.stopped + 2 * PARTIAL_LIMIT);
        let slack = history.harness_delay(partial.stopped, ended)
            + history.suspended(gatekeeper, partial.stopped, ended);
        let took = ended.saturating_sub(partial.stopped);
        (took > PARTIAL_LIMIT + slack).then(|| Violation {
            rule: "an error or a close for half a request",
            at: partial.stopped,
            gatekeeper: Some(gatekeeper),
            text: format!("it took {:.3} s or more", took.as_secs_f64()),
        })
    })
}
