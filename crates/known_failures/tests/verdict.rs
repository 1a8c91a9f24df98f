//! What the verdict is on runs and lists of each kind, and what the program makes of a command.

use known_failures::{TestRun, parse_list};
use std::process::Command;

/// A run of two targets, as the test runner writes it.
const GOOD: &str = "\
   Compiling link v0.1.0
     Running unittests src/lib.rs (target/debug/deps/link-0123456789abcdef)

running 1 test
test alarm::tests::wakes ... ok

test result: ok. 1 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s

     Running tests/endings.rs (target/debug/deps/endings-cf30f7086c945f9e)

running 2 tests
test first ... ok
test second ... ok

test result: ok. 2 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.10s
";

const LISTED: &str = "endings::second | a close in the wrong instant | issue 33\n";

/// The same with this test failing.
fn with_failure(test: &str) -> String {
    let failed = GOOD.replace(&format!("test {test} ... ok"), &format!("test {test} ... FAILED"));
    let ends =
        failed.replace("test result: ok. 2 passed; 0 failed", "test result: FAILED. 1 passed; 1 failed");
    format!(
        "{ends}error: test failed, to rerun pass `-p snowfield --test endings`\nerror: 1 target failed:\n    `-p snowfield --test endings`\n"
    )
}

fn problems(output: &str, succeeded: bool, list: &str) -> Vec<String> {
    let mut run = TestRun::default();
    output.lines().for_each(|line| run.apply_line(line));
    let problems = run.problems(succeeded, &parse_list(list).expect("a sound list"));
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn a_run_is_good_when_just_the_listed_tests_fail() {
    assert_eq!(problems(GOOD, true, ""), Vec::<String>::new());
    assert_eq!(problems(&with_failure("second"), false, LISTED), Vec::<String>::new());
}

#[test]
fn any_other_failure_a_listed_test_that_passes_and_a_missing_one_are_reported() {
    assert_eq!(problems(&with_failure("second"), false, ""), ["endings::second failed"]);
    assert_eq!(
        problems(&with_failure("first"), false, LISTED),
        ["endings::first failed", "endings::second is listed and passes: take it off"]
    );
    assert_eq!(problems(GOOD, true, LISTED), ["endings::second is listed and passes: take it off"]);
    let gone = LISTED.replace("second", "third");
    assert_eq!(problems(GOOD, true, &gone), ["endings::third is listed and did not run"]);
    // One of the same name elsewhere is another test.
    let elsewhere = LISTED.replace("endings", "link");
    assert!(
        problems(&with_failure("second"), false, &elsewhere).contains(&"endings::second failed".to_owned())
    );
}

#[test]
fn a_target_that_is_killed_or_not_built_is_no_known_failure() {
    let ended = "the tests did not run to their end";
    let killed = with_failure("second").replace("1 target failed", "2 targets failed");
    assert_eq!(problems(&killed, false, LISTED), [ended]);
    let unbuilt = "error[E0425]: cannot find value `x`\nerror: could not compile `link`\n";
    assert_eq!(problems(unbuilt, false, ""), [ended, "no test ran"]);
    assert_eq!(problems("", true, ""), ["no test ran"]);
}

#[test]
fn a_list_that_is_long_or_says_too_little_is_rejected() {
    let line = |test: &str| format!("{test} | a cause | issue 33\n");
    let three: String = ["a::b", "a::c", "a::d"].into_iter().map(line).collect();
    assert_eq!(parse_list(&three).map(|list| list.len()), Ok(3));
    for bad in [
        three.clone() + &line("a::e"),
        line("a::b") + &line("a::b"),
        line("b"),
        "a::b | a cause\n".into(),
        "a::b |  | issue 33\n".into(),
        "a::b | a cause | \n".into(),
    ] {
        assert!(parse_list(&bad).is_err(), "{bad}");
    }
}

#[test]
fn the_program_passes_on_the_output_and_prints_known_failures() {
    let folder = std::env::temp_dir().join(format!("known-failures-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (list, output) = (folder.join("KNOWN-RED.txt"), folder.join("output"));
    std::fs::write(&output, with_failure("second")).expect("a file");
    let run = |command: &str| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_known_failures"));
        program.arg(&list).args(["sh", "-c", command]).current_dir(&folder);
        let out = program.output().expect("it runs");
        (out.status.success(), String::from_utf8_lossy(&out.stdout).into_owned())
    };
    assert!(!run("cat output; exit 101").0, "no list, and a failure");
    std::fs::write(&list, LISTED).expect("a file");
    let (good, said) = run("cat output; exit 101");
    assert!(good && said.contains("test first ... ok"), "{said}");
    assert!(
        said.contains("known to fail: endings::second: a close in the wrong instant (issue 33)"),
        "{said}"
    );
    // The names of targets come on the other stream, in their places between the tests.
    assert!(
        run(
            "while read -r l; do case $l in Running*) echo $l >&2;; *) echo $l;; esac; done <output; exit 101"
        )
        .0
    );
    assert!(!run("exit 101").0, "nothing ran");
    assert!(!run("sed 's/second ... FAILED/second ... ok/' output; exit 0").0, "it is listed and passes");
    std::fs::remove_dir_all(&folder).expect("it is removed");
}
