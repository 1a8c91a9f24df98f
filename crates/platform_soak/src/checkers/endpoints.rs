//! No attempt begins at a backend that drains or is gone, once its gatekeeper counts as notified and the grace is over.

use super::{MAX_SCHEDULING_DELAY, violation_by};
use crate::history::{GatekeeperIndex, History, Moment, ProcessEvent};
use crate::settings::Settings;
use fault_injection::checkers::Violation;
use fault_injection::checkers::rules::NOTHING_TO_INELIGIBLE;
use fault_injection::stand_ins::ListedState;
use std::time::Duration;

/// A change counts as notified this long after discovery had it and could be reached.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// For the way over loopback and the stand-ins' threads.
const TRANSPORT: Duration = Duration::from_millis(55);

/// A time in which a backend takes no new work of one gatekeeper.
struct Closed {
    from: Moment,
    to: Moment,
}

pub(super) fn check(history: &History, settings: &Settings) -> Vec<Violation> {
    let mut violations = Vec::new();
    for gatekeeper in 0..settings.gatekeepers {
        let closed: Vec<Vec<Closed>> = (0..settings.backends)
            .map(|backend| closed_times(history, settings, gatekeeper, backend))
            .collect();
        let attempts = history.attempts.iter().filter(|a| a.request.gatekeeper() == gatekeeper);
        for attempt in attempts {
            let slack =
                MAX_SCHEDULING_DELAY + TRANSPORT + history.harness_delay(attempt.began, attempt.arrived);
            let is_closed =
                |closed: &&Closed| attempt.began > closed.from + slack && attempt.began < closed.to;
            if let Some(closed) = closed[attempt.backend].iter().find(is_closed) {
                let text = format!(
                    "request {} began at s-{:04} {:.3} s after the grace",
                    attempt.request.text(),
                    attempt.backend,
                    (attempt.began - closed.from).as_secs_f64()
                );
                violations.push(violation_by(gatekeeper, NOTHING_TO_INELIGIBLE, attempt.began, text));
            }
        }
    }
    violations
}

/// When a backend takes no new work of a gatekeeper: from the grace behind the notification to the next change.
fn closed_times(
    history: &History,
    settings: &Settings,
    gatekeeper: GatekeeperIndex,
    backend: usize,
) -> Vec<Closed> {
    let changes: Vec<_> =
        history.list_changes.iter().enumerate().filter(|(_, change)| change.backend == backend).collect();
    let mut closed = Vec::new();
    for (place, (number, change)) in changes.iter().enumerate() {
        let next = changes.get(place + 1).map_or(Moment::MAX, |(_, next)| next.at);
        if change.state != ListedState::Up {
            let notified = notified_at(history, gatekeeper, *number, change.at);
            closed.push(Closed { from: notified + settings.drain_grace, to: next });
        }
    }
    closed
}

/// When a gatekeeper counts as notified of a change: when its list was written, and 6 s after its agent had it and could be
/// reached at the latest. A process that has started since counts as notified when it serves, or as the others.
fn notified_at(history: &History, gatekeeper: GatekeeperIndex, change: usize, changed_at: Moment) -> Moment {
    let written = history
        .notifications
        .iter()
        .find(|notification| notification.gatekeeper == gatekeeper && notification.changes > change)
        .map(|notification| notification.at);
    let at_the_latest = reachable_since(history, gatekeeper, changed_at) + NOTIFIED_AFTER;
    let notified = written.map_or(at_the_latest, |written| written.min(at_the_latest));
    // What an ended process was notified of, its successor is at its start.
    let is_start = |event: &ProcessEvent| matches!(event, ProcessEvent::Started { .. });
    let restarted = history
        .processes
        .iter()
        .any(|record| record.gatekeeper == gatekeeper && is_start(&record.event) && record.at > notified);
    if restarted { notified.max(at_the_latest) } else { notified }
}

/// From when on, after this moment, the agent could be reached for good.
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
