//! Tests of the messages of problems.

use super::*;

#[test]
fn a_problem_names_its_test() {
    let test = || "shutdown::second".to_owned();
    let cases = [
        (Problem::Failed { test: test() }, "shutdown::second failed"),
        (Problem::NotRun { test: test() }, "shutdown::second is listed and did not run"),
        (Problem::Passes { test: test() }, "shutdown::second is listed and passes: take it off"),
        (Problem::Ambiguous { test: test() }, "shutdown::second is the name of several tests"),
        (Problem::Incomplete, "the tests did not run to their end"),
        (Problem::NoTests, "no test ran"),
    ];
    for (problem, text) in cases {
        assert_eq!(problem.to_string(), text);
    }
}
