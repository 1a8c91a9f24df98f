//! Metrics, and their text format for the operators' collectors. The collectors rely on the names of the series.

use std::fmt::Write;

/// Prefix of the names of all series.
const PREFIX: &str = "balancer_";

/// Outcomes of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Name of the class: the value of the series' label `lane`.
    pub name: String,
    /// Requests that a backend has served since the process started.
    pub completed: u64,
    /// Requests that were answered with a rejection since the process started.
    pub rejected: u64,
    /// Requests that failed and may have had an effect, since the process started.
    pub failed: u64,
}

/// Number of requests that the policy has rejected for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionCount {
    /// Value of the series' label `reason`.
    pub reason: &'static str,
    /// Number of requests that were rejected for this reason since the process started.
    pub count: u64,
}

/// Number of violations that one guard of the package `invariants` has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViolationCount {
    /// Name of the guard: the value of the series' label `guard`.
    pub guard: &'static str,
    /// Number of violations that the guard has found since the process started.
    pub count: u64,
}

/// The metrics of one process. Counters start at 0 with the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Outcomes of requests by class.
    pub classes: Vec<ClassMetrics>,
    /// Requests that the policy has rejected, by reason.
    pub rejections: Vec<RejectionCount>,
    /// Attempts that were completely written to backends.
    pub attempts_written: u64,
    /// Requests without a final answer.
    pub pending: usize,
    /// Backends on the endpoint list.
    pub backends: usize,
    /// Backends on the list that get no requests at the moment.
    pub backends_unavailable: usize,
    /// Successful reloads of the configuration.
    pub reloads: u64,
    /// Failed reloads of the configuration.
    pub reload_errors: u64,
    /// Whether an operator's ejection or restoration is not on disk yet. A process that starts without a predecessor would not
    /// know of this change.
    pub ejections_pending: bool,
    /// Violations of invariants, by guard.
    pub violations: Vec<ViolationCount>,
}

impl Metrics {
    /// Formats the reply to `telemetry`: `OK`, a line for each series, and `END`.
    pub fn to_text(&self) -> String {
        let mut text = String::from("OK\n");
        self.write_outcomes(&mut text);
        for RejectionCount { reason, count } in &self.rejections {
            write_labelled_series(
                &mut text,
                "refusals_total",
                Label { name: "reason", value: reason },
                *count,
            );
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
            write_series(&mut text, name, value);
        }
        for ViolationCount { guard, count } in &self.violations {
            write_labelled_series(
                &mut text,
                "invariant_violations_total",
                Label { name: "guard", value: guard },
                *count,
            );
        }
        text.push_str("END\n");
        text
    }

    fn write_outcomes(&self, text: &mut String) {
        let mut write = |name: &str, count: fn(&ClassMetrics) -> u64| {
            for class in &self.classes {
                write_labelled_series(text, name, Label { name: "lane", value: &class.name }, count(class));
            }
        };
        write("completed_total", |class| class.completed);
        write("rejected_total", |class| class.rejected);
        write("failed_total", |class| class.failed);
    }
}

/// The label that distinguishes a series from other series of the same metric.
struct Label<'a> {
    name: &'a str,
    value: &'a str,
}

/// Appends the line of a series without a label.
fn write_series(text: &mut String, name: &str, value: u64) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{PREFIX}{name} {value}");
}

/// Appends the line of a series with a label.
fn write_labelled_series(text: &mut String, name: &str, label: Label<'_>, value: u64) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{PREFIX}{name}{{{}=\"{}\"}} {value}", label.name, escape(label.value));
}

/// Escapes a label's value as the Prometheus text format requires.
fn escape(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
