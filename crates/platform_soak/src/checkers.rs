//! The invariants. Each checker reads the history and reports what breaks its rule.

mod attempts;
mod endpoints;
mod processes;
mod quotas;
mod requests;
mod slow_start;

#[cfg(test)]
mod tests;

use crate::history::{GatekeeperIndex, History, Moment, ProcessEvent, SchedulingDelay, gatekeeper_name};
use crate::settings::Settings;
use fault_harness::violation::Violation;
use std::time::Duration;

/// Longest scheduling delay of a gatekeeper between reading its clock and writing (RULES.md).
pub(crate) const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);

/// A violation by this gatekeeper at this time.
fn violation_by(
    gatekeeper: GatekeeperIndex,
    rule: &'static str,
    at: Moment,
    text: impl Into<String>,
) -> Violation {
    Violation::new(rule, text).at(at).by(gatekeeper_name(gatekeeper))
}

/// All broken invariants, in the order of time.
pub fn check_all(history: &History, settings: &Settings) -> Vec<Violation> {
    let mut violations = Vec::new();
    violations.extend(processes::check(history));
    violations.extend(requests::check(history));
    violations.extend(attempts::check(history, settings));
    violations.extend(endpoints::check(history, settings));
    violations.extend(quotas::check(history, settings));
    violations.extend(slow_start::check(history, settings));
    violations.sort_by_key(|violation| violation.at);
    violations
}

impl History {
    /// Longest scheduling delay of the harness in this time. What it records may be late by as much.
    pub(crate) fn harness_delay(&self, from: Moment, to: Moment) -> Duration {
        let overlaps =
            |late: &&SchedulingDelay| late.ended >= from && late.ended.saturating_sub(late.delay) <= to;
        self.delays.iter().filter(overlaps).map(|late| late.delay).max().unwrap_or_default()
    }

    /// Total time for which a gatekeeper was suspended in this time.
    pub(crate) fn suspended(&self, gatekeeper: GatekeeperIndex, from: Moment, to: Moment) -> Duration {
        let of_this = self.processes.iter().filter(|record| record.gatekeeper == gatekeeper);
        let suspended = of_this.filter_map(|record| match record.event {
            ProcessEvent::Suspended { from: since } => {
                Some(record.at.min(to).saturating_sub(since.max(from)))
            }
            _ => None,
        });
        suspended.sum()
    }

    /// Whether a process of a gatekeeper was killed in this time.
    pub(crate) fn was_killed(&self, gatekeeper: GatekeeperIndex, from: Moment, to: Moment) -> bool {
        self.processes.iter().any(|record| {
            let is_kill = record.event == ProcessEvent::Killed;
            is_kill && record.gatekeeper == gatekeeper && record.at >= from && record.at <= to
        })
    }
}
