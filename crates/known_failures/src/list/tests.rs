//! Tests of the error messages for invalid lists.

use super::*;

#[test]
fn an_error_names_the_invalid_line_or_count() {
    let line = |test: &str| format!("{test} | make test | a race | issue 33\n");
    let error = |list: &str| parse_list(list).expect_err("the list is invalid").to_string();
    assert_eq!(
        error("a::b | make test | a race\n"),
        "a line is not of the form TARGET::TEST | COMMAND AND SEED | SEEN | ISSUE: a::b | make test | a race"
    );
    let text = "a line lacks the target and test, the command, what was seen or the issue: b | make test | a race | issue 33";
    assert_eq!(error(&line("b")), text);
    assert_eq!(error(&(line("a::b") + &line("a::b"))), "a::b is listed twice");
    let four: String = ["a::b", "a::c", "a::d", "a::e"].into_iter().map(line).collect();
    assert_eq!(error(&four), "4 tests are listed, more than the maximum of 3");
}
