//! Checks that no attempt begins at a draining or removed backend once its gatekeeper counts as notified and the drain grace has
//! passed.

use super::{MAX_SCHEDULING_DELAY, violation_by};
use crate::history::{GatekeeperIndex, History, Moment, ProcessEvent};
use crate::settings::Settings;
use fault_harness::rules::{IneligibleSpan, NO_REQUEST_TO_INELIGIBLE};
use fault_harness::stand_ins::ListedState;
use fault_harness::violation::Violation;
use std::time::Duration;

/// A gatekeeper counts as notified of a change at the latest after its discovery agent has been reachable, with the change, for
/// this long.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// Slack for loopback transport and the scheduling of the stand-ins' threads.
const TRANSPORT: Duration = Duration::from_millis(55);

pub(super) fn check(history: &History, settings: &Settings) -> Vec<Violation> {
    let mut violations = Vec::new();
    for gatekeeper in 0..settings.gatekeepers {
        let spans: Vec<Vec<IneligibleSpan>> = (0..settings.backends)
            .map(|backend| ineligible_spans(history, settings, gatekeeper, backend))
            .collect();
        let attempts = history.attempts.iter().filter(|a| a.request.gatekeeper() == gatekeeper);
        for attempt in attempts {
            let slack =
                MAX_SCHEDULING_DELAY + TRANSPORT + history.harness_delay(attempt.began, attempt.arrived);
            let lateness = |span: &IneligibleSpan| span.lateness(attempt.began, slack);
            if let Some(lateness) = spans[attempt.backend].iter().find_map(lateness) {
                let text = format!(
                    "request {} began at s-{:04} {:.3} s after the drain grace",
                    attempt.request.request_id(),
                    attempt.backend,
                    lateness.as_secs_f64()
                );
                violations.push(violation_by(gatekeeper, NO_REQUEST_TO_INELIGIBLE, attempt.began, text));
            }
        }
    }
    violations
}

/// Spans in which a backend is not eligible for a gatekeeper: each begins when the drain grace after a notification ends, and
/// lasts until the next change of the backend.
fn ineligible_spans(
    history: &History,
    settings: &Settings,
    gatekeeper: GatekeeperIndex,
    backend: usize,
) -> Vec<IneligibleSpan> {
    let changes: Vec<_> =
        history.list_changes.iter().enumerate().filter(|(_, change)| change.backend == backend).collect();
    let mut spans = Vec::new();
    for (position, (number, change)) in changes.iter().enumerate() {
        let next = changes.get(position + 1).map_or(Moment::MAX, |(_, next)| next.at);
        if change.state != ListedState::Up {
            let notified = notified_at(history, gatekeeper, *number, change.at);
            spans.push(IneligibleSpan { from: notified + settings.drain_grace, to: next });
        }
    }
    spans
}

/// When a gatekeeper counts as notified of a change: when the list was sent to it, and at the latest after its agent has been
/// reachable with the change for [`NOTIFIED_AFTER`]. If a process has started since the list was sent, the second time counts.
fn notified_at(history: &History, gatekeeper: GatekeeperIndex, change: usize, changed_at: Moment) -> Moment {
    let sent = history
        .notifications
        .iter()
        .find(|notification| notification.gatekeeper == gatekeeper && notification.changes > change)
        .map(|notification| notification.at);
    let latest = reachable_since(history, gatekeeper, changed_at) + NOTIFIED_AFTER;
    let notified = sent.map_or(latest, |sent| sent.min(latest));
    // A process that starts later has to get the list again.
    let is_start = |event: &ProcessEvent| matches!(event, ProcessEvent::Started { .. });
    let restarted = history
        .processes
        .iter()
        .any(|record| record.gatekeeper == gatekeeper && is_start(&record.event) && record.at > notified);
    if restarted { notified.max(latest) } else { notified }
}

/// The first moment, not before `from`, from which the agent of a gatekeeper is reachable for at least [`NOTIFIED_AFTER`]. A
/// moment far in the future if there is none.
fn reachable_since(history: &History, gatekeeper: GatekeeperIndex, from: Moment) -> Moment {
    let changes = history.discovery_changes.iter().filter(|change| change.gatekeeper == gatekeeper);
    let mut since = from;
    let mut is_reachable = true;
    for change in changes {
        if change.at <= from {
            is_reachable = change.is_reachable;
        } else if change.is_reachable && !is_reachable {
            (since, is_reachable) = (change.at, true);
        } else if !change.is_reachable {
            // An outage that begins within `NOTIFIED_AFTER` restarts the wait.
            is_reachable = change.at > since + NOTIFIED_AFTER;
        }
    }
    if is_reachable { since } else { Moment::MAX / 4 }
}
