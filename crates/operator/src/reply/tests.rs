//! The text format of replies.

use super::*;

#[test]
fn a_reply_is_one_line() {
    assert_eq!(reply(Ok::<(), &str>(())), "OK\n");
    assert_eq!(reply(Err("no such loan server")), "ERR no such loan server\n");
}
