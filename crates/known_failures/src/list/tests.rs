//! The texts of lists that cannot be used.

use super::*;

#[test]
fn a_rejected_list_is_told_what_is_wrong_with_it() {
    let line = |test: &str| format!("{test} | a cause | issue 33\n");
    let error = |list: &str| parse_list(list).expect_err("it cannot be used").to_string();
    assert_eq!(error("a::b | a cause\n"), "not of the form TARGET::TEST | CAUSE | ISSUE: a::b | a cause");
    let text = "no target and test, no cause or no issue: b | a cause | issue 33";
    assert_eq!(error(&line("b")), text);
    assert_eq!(error(&(line("a::b") + &line("a::b"))), "listed twice: a::b");
    let four: String = ["a::b", "a::c", "a::d", "a::e"].into_iter().map(line).collect();
    assert_eq!(error(&four), "4 tests are listed, 3 at most may be");
}
