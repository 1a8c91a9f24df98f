//! Metrics in the text form that the operators' collectors read. The names of the series are fixed.

use std::fmt::Write;

/// How requests of one class have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// The class.
    pub name: String,
    /// Requests that were served.
    pub completed: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// How many requests the policy has rejected for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionCount {
    /// The reason, as the series' label has it.
    pub reason: &'static str,
    /// Requests.
    pub count: u64,
}

/// How often one of the rules that are checked while the process runs was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViolationCount {
    /// The guard, as the series' label has it.
    pub guard: &'static str,
    /// Violations.
    pub count: u64,
}

/// The metrics of one process. All counts are since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Requests by class.
    pub classes: Vec<ClassMetrics>,
    /// Requests that the policy has rejected, by reason.
    pub rejections: Vec<RejectionCount>,
    /// Attempts that were written completely to backends.
    pub attempts_written: u64,
    /// Requests that have no final answer yet.
    pub pending: usize,
    /// Backends on the endpoint list.
    pub backends: usize,
    /// Of these, the ones that get no requests at the moment.
    pub backends_unavailable: usize,
    /// Configuration files that were accepted at SIGHUP.
    pub reloads: u64,
    /// Configuration files that were rejected at SIGHUP.
    pub reload_errors: u64,
    /// What operators have ejected or restored is not on disk yet: a process that starts after this one would not know it.
    pub ejections_pending: bool,
    /// Violations of invariants, by guard.
    pub violations: Vec<ViolationCount>,
}

impl Metrics {
    /// The reply to `telemetry`: `OK`, a line for each series, and `END`.
    pub fn to_text(&self) -> String {
        let mut text = String::from("OK\n");
        self.write_classes(&mut text);
        for RejectionCount { reason, count } in &self.rejections {
            write_series(&mut text, "refusals_total", Some(("reason", reason)), *count);
        }
        for (name, value) in [
            ("upstream_requests_total", self.attempts_written),
            ("pending", self.pending as u64),
            ("members", self.backends as u64),
            ("members_unavailable", self.backends_unavailable as u64),
            ("config_reloads_total", self.reloads),
            ("config_reload_errors_total", self.reload_errors),
            ("exclusions_unsaved", u64::from(self.ejections_pending)),
        ] {
            write_series(&mut text, name, None, value);
        }
        for ViolationCount { guard, count } in &self.violations {
            write_series(&mut text, "invariant_violations_total", Some(("guard", guard)), *count);
        }
        text.push_str("END\n");
        text
    }

    fn write_classes(&self, text: &mut String) {
        for class in &self.classes {
            write_series(text, "completed_total", Some(("lane", &class.name)), class.completed);
        }
        for class in &self.classes {
            write_series(text, "rejected_total", Some(("lane", &class.name)), class.rejected);
        }
        for class in &self.classes {
            write_series(text, "failed_total", Some(("lane", &class.name)), class.failed);
        }
    }
}

/// Appends the line of one series, with a label where it has one.
fn write_series(text: &mut String, name: &str, label: Option<(&str, &str)>, value: u64) {
    let label = label.map(|(key, value)| format!("{{{key}=\"{}\"}}", escape(value))).unwrap_or_default();
    // Writing to a string cannot fail.
    let _ = writeln!(text, "balancer_{name}{label} {value}");
}

/// Escapes a label's value as the text form of metrics requires.
fn escape(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
