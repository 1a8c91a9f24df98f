//! Job runs of a small history.

use super::*;

fn job_ran(at_us: u64, job: &str, run: u64, instance: &str) -> Record {
    let observation = Observation::JobRan { job: job.into(), run, instance: instance.into() };
    Record { at_us, observation }
}

/// Run 2 of job a happens twice, on two instances.
fn history() -> [Record; 5] {
    let started = Record { at_us: 5, observation: Observation::ProcessStarted { process: "m0".into() } };
    [
        started,
        job_ran(10, "a", 1, "m0"),
        job_ran(20, "b", 2, "m1"),
        job_ran(30, "a", 2, "m0"),
        job_ran(40, "a", 2, "m2"),
    ]
}

#[test]
fn a_second_execution_of_a_run_is_repeated_even_on_another_instance() {
    let history = history();
    let runs = JobRuns::of(&history);
    assert_eq!((runs.count(), runs.repeated()), (4, 1));
    assert_eq!(runs.instances(), BTreeSet::from(["m0", "m1", "m2"]));
}

#[test]
fn a_span_includes_both_of_its_ends() {
    let history = history();
    let runs = JobRuns::of(&history).within(Span { from_us: 20, to_us: 30 });
    let times: Vec<u64> = runs.iter().map(|run| run.at_us).collect();
    assert_eq!(times, [20, 30]);
    assert_eq!(runs.repeated(), 0);
}
