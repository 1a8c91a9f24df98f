//! The figures as text.

use std::fmt::Write;

/// How operations of one class have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassFigures {
    /// The class.
    pub name: String,
    /// Operations served.
    pub completed: u64,
    /// Operations refused.
    pub rejected: u64,
    /// Operations failed.
    pub failed: u64,
}

/// What a gatekeeper tells of itself; all counts are since this process started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// By class.
    pub classes: Vec<ClassFigures>,
    /// Operations that the decisions refused, by what kept them out.
    pub refusals: Vec<(&'static str, u64)>,
    /// Attempts written whole to loan servers.
    pub upstream_requests: u64,
    /// Operations taken and not yet ended.
    pub pending: usize,
    /// Loan servers on the list.
    pub members: usize,
    /// Of these, the ones that get no work now.
    pub members_unavailable: usize,
    /// Files taken at SIGHUP.
    pub reloads: u64,
    /// Files turned down at SIGHUP.
    pub reload_errors: u64,
}

impl Figures {
    /// The reply to `telemetry`: `OK`, a line for each figure, and `END`.
    pub fn text(&self) -> String {
        let mut text = String::from("OK\n");
        // Writing to a string cannot fail.
        for (name, of) in [
            ("completed", (|c| c.completed) as fn(&ClassFigures) -> u64),
            ("rejected", |c| c.rejected),
            ("failed", |c| c.failed),
        ] {
            for class in &self.classes {
                let _ = writeln!(
                    text,
                    "balancer_{name}_total{{lane=\"{}\"}} {}",
                    escaped(&class.name),
                    of(class)
                );
            }
        }
        for (reason, count) in &self.refusals {
            let _ = writeln!(text, "balancer_refusals_total{{reason=\"{reason}\"}} {count}");
        }
        for (name, value) in [
            ("upstream_requests_total", self.upstream_requests),
            ("pending", self.pending as u64),
            ("members", self.members as u64),
            ("members_unavailable", self.members_unavailable as u64),
            ("config_reloads_total", self.reloads),
            ("config_reload_errors_total", self.reload_errors),
        ] {
            let _ = writeln!(text, "balancer_{name} {value}");
        }
        text.push_str("END\n");
        text
    }
}

/// A label's value as the text form of metrics wants it.
fn escaped(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_figure_has_its_line_and_the_end_is_told() {
        let class = ClassFigures { name: "C".into(), completed: 812, rejected: 3, failed: 1 };
        let refusals = vec![("quota", 2), ("no_place", 1)];
        let figures =
            Figures { classes: vec![class], refusals, pending: 14, members: 10, ..Figures::default() };
        let text = figures.text();
        assert!(text.starts_with("OK\n") && text.ends_with("\nEND\n"));
        for line in [
            "balancer_completed_total{lane=\"C\"} 812",
            "balancer_rejected_total{lane=\"C\"} 3",
            "balancer_failed_total{lane=\"C\"} 1",
            "balancer_refusals_total{reason=\"quota\"} 2",
            "balancer_refusals_total{reason=\"no_place\"} 1",
            "balancer_upstream_requests_total 0",
            "balancer_pending 14",
            "balancer_members 10",
            "balancer_members_unavailable 0",
            "balancer_config_reloads_total 0",
            "balancer_config_reload_errors_total 0",
        ] {
            assert_eq!(text.lines().filter(|l| *l == line).count(), 1, "{line}");
        }
    }

    #[test]
    fn a_name_cannot_break_out_of_its_line() {
        let class = ClassFigures { name: "a\"}\nb\\".into(), ..ClassFigures::default() };
        let figures = Figures { classes: vec![class], ..Figures::default() };
        assert!(figures.text().contains("{lane=\"a\\\"}\\nb\\\\\"} 0\n"));
    }
}
