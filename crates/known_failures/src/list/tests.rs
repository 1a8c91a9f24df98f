//! Tests of the error messages for invalid lists.

use super::*;

#[test]
fn an_error_names_the_invalid_line_or_count() {
    let line = |test: &str| format!("{test} | a cause | issue 33\n");
    let error = |list: &str| parse_list(list).expect_err("the list is invalid").to_string();
    assert_eq!(error("a::b | a cause\n"), "not of the form TARGET::TEST | CAUSE | ISSUE: a::b | a cause");
    let text = "no target and test, no cause or no issue: b | a cause | issue 33";
    assert_eq!(error(&line("b")), text);
    assert_eq!(error(&(line("a::b") + &line("a::b"))), "listed twice: a::b");
    let four: String = ["a::b", "a::c", "a::d", "a::e"].into_iter().map(line).collect();
    assert_eq!(error(&four), "4 tests are listed, 3 at most may be");
}
