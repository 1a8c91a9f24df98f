//! The texts of what speaks against a run.

use super::*;

#[test]
fn a_problem_names_its_test() {
    let test = || "endings::second".to_owned();
    let cases = [
        (Problem::Failed { test: test() }, "endings::second failed"),
        (Problem::NotRun { test: test() }, "endings::second is listed and did not run"),
        (Problem::Passes { test: test() }, "endings::second is listed and passes: take it off"),
        (Problem::Ambiguous { test: test() }, "endings::second is the name of several tests"),
        (Problem::Incomplete, "the tests did not run to their end"),
        (Problem::NoTests, "no test ran"),
    ];
    for (problem, text) in cases {
        assert_eq!(problem.to_string(), text);
    }
}
