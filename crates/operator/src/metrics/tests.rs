//! The text format of the metrics, line by line.

use super::*;

#[test]
fn each_series_has_its_line_and_the_end_is_marked() {
    let class = ClassMetrics { name: "C".into(), completed: 812, rejected: 3, failed: 1 };
    let rejections =
        vec![RejectionCount { reason: "quota", count: 2 }, RejectionCount { reason: "no_place", count: 1 }];
    let violations = vec![ViolationCount { guard: "sending", count: 2 }];
    let metrics = Metrics {
        classes: vec![class],
        rejections,
        violations,
        pending: 14,
        backends: 10,
        ..Metrics::default()
    };
    let text = metrics.to_text();
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
        "balancer_exclusions_unsaved 0",
        "balancer_invariant_violations_total{guard=\"sending\"} 2",
    ] {
        assert_eq!(text.lines().filter(|l| *l == line).count(), 1, "{line}");
    }
}

#[test]
fn the_series_come_in_a_fixed_order() {
    let class = |name: &str| ClassMetrics { name: name.into(), ..ClassMetrics::default() };
    let metrics = Metrics { classes: vec![class("a"), class("b")], ..Metrics::default() };
    let text = metrics.to_text();
    let names: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("balancer_")).collect();
    assert_eq!(
        names[..3],
        ["completed_total{lane=\"a\"} 0", "completed_total{lane=\"b\"} 0", "rejected_total{lane=\"a\"} 0"]
    );
}

#[test]
fn a_label_cannot_break_out_of_its_line() {
    let class = ClassMetrics { name: "a\"}\nb\\".into(), ..ClassMetrics::default() };
    let metrics = Metrics { classes: vec![class], ..Metrics::default() };
    assert!(metrics.to_text().contains("{lane=\"a\\\"}\\nb\\\\\"} 0\n"));
}
