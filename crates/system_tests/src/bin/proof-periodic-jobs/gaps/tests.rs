//! Missed runs, gaps and take-over times of a small history. Jobs have a period of 500 ms.

use super::*;
use fault_injection::history::{Observation, Record};

/// Returns the record of a run. The number of a run is its scheduled time in ms, as on real gatekeepers.
fn job_ran(at_ms: u64, job: &str, run: u64, instance: &str) -> Record {
    let observation = Observation::JobRan { job: job.into(), run, instance: instance.into() };
    Record { at_us: at_ms * 1_000, observation }
}

fn jobs(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn span_ms(from_ms: u64, to_ms: u64) -> Span {
    Span { from_us: from_ms * 1_000, to_us: to_ms * 1_000 }
}

/// Job a misses two runs, and one of its runs happens again; job b moves from m0 to m1.
fn history() -> Vec<Record> {
    vec![
        job_ran(1_010, "a", 1_000, "m0"),
        job_ran(1_020, "b", 1_000, "m0"),
        job_ran(1_510, "a", 1_500, "m0"),
        job_ran(1_700, "b", 1_500, "m1"),
        job_ran(3_010, "a", 3_000, "m0"),
        job_ran(3_020, "a", 3_000, "m1"),
    ]
}

#[test]
fn missed_runs_are_counted_between_runs_and_at_the_ends() {
    let history = history();
    let runs = JobRuns::of(&history);
    let missed = |names: &[&str], span| max_missed_runs(&runs, &jobs(names), span);
    assert_eq!((runs.count(), runs.repeated()), (6, 1));
    assert_eq!(missed(&["a"], span_ms(1_000, 3_100)), 2.0);
    // The span ends 1,400 ms or 2.8 periods after the last run, of which 1.6 periods are allowed; the rest is rounded up.
    assert_eq!(missed(&["b"], span_ms(1_000, 3_100)), 2.0);
    assert_eq!(missed(&["a"], span_ms(1_000, 1_600)), 0.0);
    // A job that never runs misses all periods.
    assert_eq!(missed(&["a", "c"], span_ms(1_000, 3_000)), 4.0);
    assert_eq!(runs.within(span_ms(1_020, 1_700)).count(), 3);
}

#[test]
fn gaps_and_take_over_times_are_measured() {
    let history = history();
    let runs = JobRuns::of(&history);
    assert_eq!(longest_gap(&runs, span_ms(1_000, 3_100)), Duration::from_millis(1_500));
    let millis = |ms| Some(Duration::from_millis(ms));
    assert_eq!(take_over_times(&runs, 1_600_000, &["m0".to_owned()]), [millis(1_410), millis(100)]);
    assert_eq!(take_over_times(&runs, 1_600_000, &["m1".to_owned()]), []);
    assert_eq!(take_over_times(&runs, 2_000_000, &["m0".to_owned(), "m1".to_owned()]), [millis(1_010), None]);
    assert_eq!(all_run_again_after(&runs, &jobs(&["a", "b"]), 1_600_000), millis(1_410));
    assert_eq!(all_run_again_after(&runs, &jobs(&["b"]), 2_000_000), None);
}
