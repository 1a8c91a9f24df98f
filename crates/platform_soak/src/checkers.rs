//! Invariant checkers. Each checker reads the history of a run and reports the violations of its rules.

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

/// Longest scheduling delay that a gatekeeper may have between reading its clock and writing a message (RULES.md).
pub(crate) const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);

/// Creates a violation that is attributed to one gatekeeper.
fn violation_by(
    gatekeeper: GatekeeperIndex,
    rule: &'static str,
    at: Moment,
    text: impl Into<String>,
) -> Violation {
    Violation::new(rule, text).at(at).by(gatekeeper_name(gatekeeper))
}

/// Runs all checkers. Returns the violations in the order of time.
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
    /// Longest scheduling delay of the harness that overlaps the interval from `from` to `to`. Times that the harness recorded
    /// in the interval may be late by up to this delay.
    pub(crate) fn harness_delay(&self, from: Moment, to: Moment) -> Duration {
        let overlaps = |record: &&SchedulingDelay| {
            record.ended >= from && record.ended.saturating_sub(record.delay) <= to
        };
        self.delays.iter().filter(overlaps).map(|record| record.delay).max().unwrap_or_default()
    }

    /// Total time between `from` and `to` for which processes of a gatekeeper were suspended.
    pub(crate) fn suspended_time(&self, gatekeeper: GatekeeperIndex, from: Moment, to: Moment) -> Duration {
        let of_gatekeeper = self.processes.iter().filter(|record| record.gatekeeper == gatekeeper);
        let suspended = of_gatekeeper.filter_map(|record| match record.event {
            ProcessEvent::Suspended { from: suspended_at } => {
                Some(record.at.min(to).saturating_sub(suspended_at.max(from)))
            }
            _ => None,
        });
        suspended.sum()
    }

    /// Whether a process of a gatekeeper was killed between `from` and `to`.
    pub(crate) fn was_killed(&self, gatekeeper: GatekeeperIndex, from: Moment, to: Moment) -> bool {
        self.processes.iter().any(|record| {
            let is_kill = record.event == ProcessEvent::Killed;
            is_kill && record.gatekeeper == gatekeeper && record.at >= from && record.at <= to
        })
    }
}
