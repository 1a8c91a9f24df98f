//! Figures of a small history: periods of 500 ms.

use super::*;

/// A run of a job at a time in ms; runs are numbered by ms, as gatekeepers do.
fn ran(at_ms: u64, job: &str, run: u64, instance: &str) -> Record {
    let observation = Observation::JobRan { job: job.into(), run, instance: instance.into() };
    Record { at_us: at_ms * 1_000, observation }
}

fn fault(at_ms: u64, index: usize, begins: bool) -> Record {
    let (kind, affected) = ("killed".into(), Vec::new());
    let observation = Observation::Fault { index, kind, begins, affected, delays_attempts: false };
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
        ran(1_010, "a", 1_000, "m0"),
        ran(1_020, "b", 1_000, "m0"),
        fault(1_100, 0, true),
        ran(1_510, "a", 1_500, "m0"),
        fault(1_600, 1, true),
        ran(1_700, "b", 1_500, "m1"),
        fault(2_900, 0, false),
        ran(3_010, "a", 3_000, "m0"),
        ran(3_020, "a", 3_000, "m1"),
        fault(3_100, 1, false),
    ]
}

#[test]
fn missed_runs_are_counted_between_runs_and_at_the_ends() {
    let history = history();
    let runs = JobRuns::of(&history);
    assert_eq!((runs.count(), runs.repeated()), (6, 1));
    assert_eq!(runs.missed(&jobs(&["a"]), span_ms(1_000, 3_100)), 2.0);
    // 1,400 ms after its last run, that is 2.8 periods, of which 1.6 are no miss.
    assert_eq!(runs.missed(&jobs(&["b"]), span_ms(1_000, 3_100)), 2.0);
    assert_eq!(runs.missed(&jobs(&["a"]), span_ms(1_000, 1_600)), 0.0);
    // A job that never runs misses all periods.
    assert_eq!(runs.missed(&jobs(&["a", "c"]), span_ms(1_000, 3_000)), 4.0);
    assert_eq!(runs.within(span_ms(1_020, 1_700)).count(), 3);
}

#[test]
fn gaps_and_take_overs_are_timed() {
    let history = history();
    let runs = JobRuns::of(&history);
    assert_eq!(runs.longest_gap(span_ms(1_000, 3_100)), 1.5);
    assert_eq!(runs.take_over_times(1_600_000, &["m0".to_owned()]), [0.1, 1.41]);
    assert_eq!(runs.take_over_times(1_600_000, &["m1".to_owned()]), [0.0; 0]);
    assert_eq!(runs.all_run_again_after(&jobs(&["a", "b"]), 1_600_000), 1.41);
    assert_eq!(runs.all_run_again_after(&jobs(&["b"]), 2_000_000), f64::INFINITY);
}

#[test]
fn a_phase_lasts_from_its_first_fault_to_its_last() {
    let span = span_of_faults(&history(), &(0..2));
    assert_eq!((span.from_us, span.to_us), (1_100_000, 3_100_000));
    let span = span_of_faults(&history(), &(1..2));
    assert_eq!((span.from_us, span.to_us), (1_600_000, 3_100_000));
}
