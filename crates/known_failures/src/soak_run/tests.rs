//! Tests of the verdict on soak runs.

use super::*;
use crate::parse_list;

const SCHEDULE: &str =
    "seed 1: 900 requests (800 served, 90 rejected, 10 failed, 0 left), 950 attempts, 3 violations\n";
const BROKEN_RULES: &str = "     2  hard ceiling\n     1  slow start\n";
const SUMMARY_LINE: &str = "proof soak: 1 schedules, 3 violations, in 1 schedules\n";
const HARD_CEILING: &str = "soak::hard ceiling | make soak, seed 1 | 2 units over | issue 33\n";
const SLOW_START: &str = "soak::slow start | make soak, seed 1 | 3 attempts over | issue 33\n";

/// Returns the messages of the problems of a run.
fn problems(output: &str, succeeded: bool, list: &str) -> Vec<String> {
    let mut run = SoakRun::default();
    output.lines().for_each(|line| run.apply_line(line));
    let problems = run.problems(succeeded, &parse_list(list).expect("a valid list"));
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn a_run_passes_when_only_listed_rules_are_broken() {
    let output = [SCHEDULE, BROKEN_RULES, SUMMARY_LINE].concat();
    assert_eq!(problems(&output, false, &[HARD_CEILING, SLOW_START].concat()), Vec::<String>::new());
    assert_eq!(problems(&output, false, HARD_CEILING), ["soak::slow start failed"]);
    assert_eq!(problems(&output, false, ""), ["soak::hard ceiling failed", "soak::slow start failed"]);
}

#[test]
fn a_listed_rule_that_holds_is_no_problem() {
    let output = [SCHEDULE, SUMMARY_LINE].concat();
    assert_eq!(problems(&output, true, ""), Vec::<String>::new());
    assert_eq!(problems(&output, true, HARD_CEILING), Vec::<String>::new());
}

#[test]
fn a_run_that_breaks_off_or_fails_without_a_broken_rule_is_incomplete() {
    let incomplete = "the tests did not run to their end";
    assert_eq!(problems(SCHEDULE, false, HARD_CEILING), [incomplete]);
    assert_eq!(problems(&[SCHEDULE, SUMMARY_LINE].concat(), false, HARD_CEILING), [incomplete]);
    let broken_off = [SCHEDULE, BROKEN_RULES].concat();
    assert_eq!(problems(&broken_off, false, &[HARD_CEILING, SLOW_START].concat()), [incomplete]);
}
