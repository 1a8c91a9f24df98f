//! No attempt begins at a backend that is draining or removed, once its gatekeeper counts as notified and the grace is over.

use super::{MAX_SCHEDULING_DELAY, violation_by};
use crate::history::{GatekeeperIndex, History, Moment, ProcessEvent};
use crate::settings::Settings;
use fault_harness::rules::{IneligibleSpan, NOTHING_TO_INELIGIBLE};
use fault_harness::stand_ins::ListedState;
use fault_harness::violation::Violation;
use std::time::Duration;

/// A gatekeeper counts as notified of a change this long after its discovery agent had it and was reachable.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// Slack for loopback and the scheduling of the stand-ins' threads.
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
                    "request {} began at s-{:04} {:.3} s after the grace",
                    attempt.request.text(),
                    attempt.backend,
                    lateness.as_secs_f64()
                );
                violations.push(violation_by(gatekeeper, NOTHING_TO_INELIGIBLE, attempt.began, text));
            }
        }
    }
    violations
}

/// Spans in which a backend is not eligible for a gatekeeper: from the grace after a notification to the next change.
fn ineligible_spans(
    history: &History,
    settings: &Settings,
    gatekeeper: GatekeeperIndex,
    backend: usize,
) -> Vec<IneligibleSpan> {
    let changes: Vec<_> =
        history.list_changes.iter().enumerate().filter(|(_, change)| change.backend == backend).collect();
    let mut spans = Vec::new();
    for (place, (number, change)) in changes.iter().enumerate() {
        let next = changes.get(place + 1).map_or(Moment::MAX, |(_, next)| next.at);
        if change.state != ListedState::Up {
            let notified = notified_at(history, gatekeeper, *number, change.at);
            spans.push(IneligibleSpan { from: notified + settings.drain_grace, to: next });
        }
    }
    spans
}

/// When a gatekeeper counts as notified of a change: when the list was sent, and at the latest [`NOTIFIED_AFTER`] after its agent
/// had it and was reachable. If a process has started since, only the latter holds.
fn notified_at(history: &History, gatekeeper: GatekeeperIndex, change: usize, changed_at: Moment) -> Moment {
    let written = history
        .notifications
        .iter()
        .find(|notification| notification.gatekeeper == gatekeeper && notification.changes > change)
        .map(|notification| notification.at);
    let at_the_latest = reachable_since(history, gatekeeper, changed_at) + NOTIFIED_AFTER;
    let notified = written.map_or(at_the_latest, |written| written.min(at_the_latest));
    // A process that starts later is notified anew.
    let is_start = |event: &ProcessEvent| matches!(event, ProcessEvent::Started { .. });
    let restarted = history
        .processes
        .iter()
        .any(|record| record.gatekeeper == gatekeeper && is_start(&record.event) && record.at > notified);
    if restarted { notified.max(at_the_latest) } else { notified }
}

/// When the agent became reachable for at least [`NOTIFIED_AFTER`], not before this moment.
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
            // An outage that begins within the time starts it anew.
            is_reachable = change.at > since + NOTIFIED_AFTER;
        }
    }
    if is_reachable { since } else { Moment::MAX / 4 }
}
