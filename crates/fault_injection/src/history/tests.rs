//! Reading a history that is damaged.

use super::read;

#[test]
fn a_line_that_holds_no_record_is_named() {
    let text = "{\"at\":1,\"what\":\"started\",\"who\":\"m0\"}\n{\"at\":2,\"what\":\"unheard of\"}\n";
    let error = read(text).expect_err("no such kind").to_string();
    assert!(error.starts_with("line 2: unknown variant `unheard of`"), "{error}");
}
