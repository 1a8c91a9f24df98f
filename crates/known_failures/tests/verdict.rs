//! Tests of the verdict on each kind of run and list, and of the program.

use known_failures::{TestRun, parse_list};
use std::process::Command;

/// The output of a run of two targets in which all tests pass.
const PASSING_OUTPUT: &str = "\
   Compiling link v0.1.0
     Running unittests src/lib.rs (target/debug/deps/link-0123456789abcdef)

running 1 test
test timer::tests::wakes ... ok

test result: ok. 1 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s

     Running tests/shutdown.rs (target/debug/deps/shutdown-cf30f7086c945f9e)

running 2 tests
test first ... ok
test second ... ok

test result: ok. 2 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.10s
";

const LIST: &str = "shutdown::second | make test | a race on close | issue 33\n";

/// Returns the output of a run in which this test fails.
fn output_with_failure(test: &str) -> String {
    let failed = PASSING_OUTPUT.replace(&format!("test {test} ... ok"), &format!("test {test} ... FAILED"));
    let results =
        failed.replace("test result: ok. 2 passed; 0 failed", "test result: FAILED. 1 passed; 1 failed");
    format!(
        "{results}error: test failed, to rerun pass `-p snowfield --test shutdown`\nerror: 1 target failed:\n    `-p snowfield --test shutdown`\n"
    )
}

/// Returns the messages of the problems of a run.
fn problems(output: &str, succeeded: bool, list: &str) -> Vec<String> {
    let mut run = TestRun::default();
    output.lines().for_each(|line| run.apply_line(line));
    let problems = run.problems(succeeded, &parse_list(list).expect("a valid list"));
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn a_run_passes_when_only_the_listed_tests_fail() {
    assert_eq!(problems(PASSING_OUTPUT, true, ""), Vec::<String>::new());
    assert_eq!(problems(&output_with_failure("second"), false, LIST), Vec::<String>::new());
}

#[test]
fn reports_unlisted_failures_and_listed_tests_that_pass_or_do_not_run() {
    assert_eq!(problems(&output_with_failure("second"), false, ""), ["shutdown::second failed"]);
    assert_eq!(
        problems(&output_with_failure("first"), false, LIST),
        ["shutdown::first failed", "shutdown::second is listed and passes: take it off"]
    );
    assert_eq!(problems(PASSING_OUTPUT, true, LIST), ["shutdown::second is listed and passes: take it off"]);
    let gone = LIST.replace("second", "third");
    assert_eq!(problems(PASSING_OUTPUT, true, &gone), ["shutdown::third is listed and did not run"]);
    // A test with the same name in another target is a different test.
    let elsewhere = LIST.replace("shutdown", "link");
    assert!(
        problems(&output_with_failure("second"), false, &elsewhere)
            .contains(&"shutdown::second failed".to_owned())
    );
}

/// A test that failed once is listed until it is traced, and must not fail the runs in which it passes.
#[test]
fn a_listed_test_may_pass_only_if_the_list_says_in_how_many_runs_it_failed() {
    let list = |seen: &str| LIST.replace("a race on close", seen);
    let intermittent = list("1 of 14 runs: a race on close");
    assert_eq!(problems(PASSING_OUTPUT, true, &intermittent), Vec::<String>::new());
    assert_eq!(problems(&output_with_failure("second"), false, &intermittent), Vec::<String>::new());
    assert_eq!(problems(&output_with_failure("first"), false, &intermittent), ["shutdown::first failed"]);
    for seen in ["14 of 14 runs: a race", "some of 14 runs: a race", "sometimes: a race"] {
        let passes = ["shutdown::second is listed and passes: take it off"];
        assert_eq!(problems(PASSING_OUTPUT, true, &list(seen)), passes);
    }
}

#[test]
fn a_target_that_is_killed_or_not_built_fails_the_run() {
    let incomplete = "the tests did not run to their end";
    let killed = output_with_failure("second").replace("1 target failed", "2 targets failed");
    assert_eq!(problems(&killed, false, LIST), [incomplete]);
    let unbuilt = "error[E0425]: cannot find value `x`\nerror: could not compile `link`\n";
    assert_eq!(problems(unbuilt, false, ""), [incomplete, "no test ran"]);
    assert_eq!(problems("", true, ""), ["no test ran"]);
}

#[test]
fn rejects_a_list_that_is_too_long_or_has_empty_parts() {
    let line = |test: &str| format!("{test} | make test | a race | issue 33\n");
    let three: String = ["a::b", "a::c", "a::d"].into_iter().map(line).collect();
    assert_eq!(parse_list(&three).map(|list| list.len()), Ok(3));
    for invalid in [
        three.clone() + &line("a::e"),
        line("a::b") + &line("a::b"),
        line("b"),
        "a::b | make test | a race\n".into(),
        "a::b |  | a race | issue 33\n".into(),
        "a::b | make test |  | issue 33\n".into(),
        "a::b | make test | a race | \n".into(),
    ] {
        assert!(parse_list(&invalid).is_err(), "{invalid}");
    }
}

/// Whether the program exited with success, and its output.
struct RunOutcome {
    succeeded: bool,
    stdout: String,
}

#[test]
fn the_program_forwards_the_output_and_prints_known_failures() {
    let directory = std::env::temp_dir().join(format!("known-failures-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    let (list, output) = (directory.join("KNOWN-RED.txt"), directory.join("output"));
    std::fs::write(&output, output_with_failure("second")).expect("the file is written");
    let run = |command: &str| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_known_failures"));
        program.arg(&list).args(["sh", "-c", command]).current_dir(&directory);
        let output = program.output().expect("the program starts");
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        RunOutcome { succeeded: output.status.success(), stdout }
    };
    assert!(!run("cat output; exit 101").succeeded, "without a list, a failed test fails the run");
    std::fs::write(&list, LIST).expect("the file is written");
    let RunOutcome { succeeded, stdout } = run("cat output; exit 101");
    assert!(succeeded && stdout.contains("test first ... ok"), "{stdout}");
    assert!(
        stdout.contains("known to fail: shutdown::second: a race on close (issue 33; make test)"),
        "{stdout}"
    );
    // Cargo writes the names of targets to stderr, between the results on stdout.
    assert!(
        run(
            "while read -r l; do case $l in Running*) echo $l >&2;; *) echo $l;; esac; done <output; exit 101"
        )
        .succeeded
    );
    assert!(!run("exit 101").succeeded, "a run without tests fails");
    let passes = run("sed 's/second ... FAILED/second ... ok/' output; exit 0");
    assert!(!passes.succeeded, "a listed test that passes fails the run");
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
}

#[test]
fn the_program_judges_each_kind_of_run_by_its_own_entries() {
    let directory = std::env::temp_dir().join(format!("known-failures-soak-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    let list = directory.join("KNOWN-RED.txt");
    let soak_entry = "soak::hard ceiling | make soak, seed 1 | 2 units over | issue 33\n";
    std::fs::write(&list, LIST.to_owned() + soak_entry).expect("the file is written");
    std::fs::write(directory.join("tests"), output_with_failure("second")).expect("the file is written");
    let soak = "     2  hard ceiling\nproof soak: 1 schedules, 2 violations, in 1 schedules\n";
    std::fs::write(directory.join("soak"), soak).expect("the file is written");
    let run = |options: &[&str], command: &str| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_known_failures"));
        program.args(options).arg(&list).args(["sh", "-c", command]).current_dir(&directory);
        program.output().expect("the program starts").status.success()
    };
    assert!(run(&[], "cat tests; exit 101"), "the rule of the soak test is not looked for among the tests");
    assert!(run(&["--soak"], "cat soak; exit 1"), "the test is not looked for in the soak run");
    assert!(!run(&["--soak"], "sed 's/hard ceiling/slow start/' soak; exit 1"), "another rule is broken");
    assert!(!run(&["--soak"], "exit 2"), "a harness that cannot run fails the run");
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
}
