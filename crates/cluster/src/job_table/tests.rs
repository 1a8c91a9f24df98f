//! Tests of the jobs in the table and of the tasks of their runs.

use super::*;
use job_lease::RunId;
use periodic_jobs::ClockReading;
use std::time::Duration;
use timestamps::{MonotonicTime, UnixTime};

fn http_job() -> HttpJob {
    HttpJob {
        name: "bell".into(),
        period: Duration::from_secs(2),
        url: "http://127.0.0.1:1/ring".into(),
        timeout: Duration::from_secs(1),
    }
}

fn health_checks() -> HealthChecks {
    HealthChecks {
        path: "/health".into(),
        timeout: Duration::from_millis(80),
        config: health_check::Config {
            period: Duration::from_millis(100),
            unhealthy_threshold: 2,
            healthy_threshold: 2,
            max_ejected_fraction: 0.5,
        },
    }
}

fn table(health_checks: Option<HealthChecks>) -> JobTable {
    let mut table = JobTable::new(health_checks);
    table.set_http_jobs(vec![http_job()]);
    table.set_backends(vec![Backend { id: "a/loans-1".into(), address: ([127, 0, 0, 1], 2).into() }]);
    table
}

fn run(job: &str) -> Run {
    let deadline = ClockReading { unix: UnixTime::default(), monotonic: MonotonicTime::default() };
    Run { job: job.into(), id: RunId(1), deadline }
}

#[test]
fn each_backend_has_a_job_only_with_health_checks() {
    let bell = Job { name: "call/bell".into(), period: Duration::from_secs(2) };
    let check = Job { name: "probe/a/loans-1".into(), period: Duration::from_millis(100) };
    assert_eq!(table(Some(health_checks())).jobs(), [bell.clone(), check]);
    assert_eq!(table(None).jobs(), [bell]);
}

#[test]
fn a_run_has_a_task_until_its_job_or_backend_is_removed() {
    let mut table = table(Some(health_checks()));
    assert!(matches!(table.task(&run("call/bell")), Some(RunTask::HttpCall { .. })));
    let Some(RunTask::HealthCheck { backend_id, path, .. }) = table.task(&run("probe/a/loans-1")) else {
        panic!("no health check")
    };
    assert_eq!((backend_id.as_str(), path.as_str()), ("a/loans-1", "/health"));
    table.set_http_jobs(Vec::new());
    table.set_backends(Vec::new());
    assert!(table.task(&run("call/bell")).is_none());
    assert!(table.task(&run("probe/a/loans-1")).is_none());
}
