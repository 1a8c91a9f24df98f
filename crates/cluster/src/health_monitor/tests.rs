//! Tests of the reports on finished checks and of the notification of ejections.

use super::*;
use crate::run_executor::RunTask;
use job_lease::RunId;
use periodic_jobs::{ClockReading, Run};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;
use timestamps::{MonotonicTime, UnixTime};

const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);

/// Returns a monitor of two backends that ejects at most one, after a single failed check, and the channel that receives each
/// changed set of ejected backends.
fn monitor() -> (HealthMonitor, Receiver<BTreeSet<String>>) {
    let config = health_check::Config {
        period: Duration::from_millis(100),
        unhealthy_threshold: 1,
        healthy_threshold: 1,
        max_ejected_fraction: 0.5,
    };
    let (sender, notified) = channel();
    let on_change = Box::new(move |ejected: &BTreeSet<String>| drop(sender.send(ejected.clone())));
    let mut monitor = HealthMonitor::new(config, on_change);
    monitor.set_backends(["a", "b"].map(String::from));
    (monitor, notified)
}

fn finished_check(run: u64, outcome: RunOutcome) -> FinishedRun {
    let deadline = ClockReading { unix: UnixTime::default(), monotonic: MonotonicTime::default() };
    FinishedRun {
        run: Run { job: "probe/a".into(), id: RunId(run), deadline },
        task: RunTask::HealthCheck {
            backend_id: "a".into(),
            address: ([127, 0, 0, 1], 1).into(),
            path: "/health".into(),
            timeout: Duration::from_millis(80),
        },
        outcome,
    }
}

#[test]
fn each_change_of_the_ejected_backends_is_notified_once() {
    let (mut monitor, notified) = monitor();
    monitor.update_ejections(NOW);
    assert!(monitor.record_check("a", &finished_check(1, RunOutcome::Status(503)), NOW).is_some());
    monitor.update_ejections(NOW);
    monitor.update_ejections(NOW);
    assert!(monitor.record_check("a", &finished_check(2, RunOutcome::Status(200)), NOW).is_some());
    monitor.update_ejections(NOW);
    let sets: Vec<BTreeSet<String>> = notified.try_iter().collect();
    assert_eq!(sets, [BTreeSet::from(["a".to_owned()]), BTreeSet::new()]);
}

#[test]
fn a_check_that_was_not_made_or_is_outdated_gives_no_report() {
    let (mut monitor, _notified) = monitor();
    assert!(monitor.record_check("a", &finished_check(2, RunOutcome::DeadlinePassed), NOW).is_none());
    assert!(monitor.record_check("a", &finished_check(2, RunOutcome::Status(200)), NOW).is_some());
    assert!(monitor.record_check("a", &finished_check(1, RunOutcome::Status(503)), NOW).is_none());
}
