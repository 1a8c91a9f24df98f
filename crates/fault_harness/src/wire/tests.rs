//! Tests that messages are read as they were written.

use super::*;

#[test]
fn an_http_message_is_read_with_its_fields_and_body() {
    let mut bytes = &b"GET /loans HTTP/1.1\r\nX-Op: 7\r\nContent-Length: 2\r\n\r\nokrest"[..];
    let message = read_http_message(&mut bytes).expect("a message");
    assert_eq!((message.target_or_status(), message.field("x-op")), ("/loans", Some("7")));
    assert_eq!((message.body.as_slice(), bytes), (&b"ok"[..], &b"rest"[..]));
    let written = http_message("HTTP/1.1 200 OK", "ok");
    assert_eq!(read_http_message(&mut &written[..]).expect("a message").target_or_status(), "200");
}

#[test]
fn an_incomplete_message_is_none() {
    let message = http_message("HTTP/1.1 200 OK", "body");
    assert!((0..message.len()).all(|length| read_http_message(&mut &message[..length]).is_none()));
    let command = resp_command(&["SVC.QUERY", "", "id"]);
    assert!((0..command.len()).all(|length| read_resp_command(&mut &command[..length]).is_none()));
    let reply = backend_reply("id");
    assert!((0..reply.len()).all(|length| read_resp_reply(&mut &reply[..length]).is_none()));
}

#[test]
fn a_command_is_read_as_it_was_written() {
    let bytes = resp_command(&["SVC.QUERY", "", "a\r\nb"]);
    assert_eq!(bytes, b"*3\r\n$9\r\nSVC.QUERY\r\n$0\r\n\r\n$4\r\na\r\nb\r\n");
    let arguments = ["SVC.QUERY", "", "a\r\nb"].map(str::to_owned);
    assert_eq!(read_resp_command(&mut &bytes[..]), Some(arguments.to_vec()));
}

#[test]
fn a_reply_is_read_as_its_line_or_its_first_value() {
    let reply = |bytes: &[u8]| read_resp_reply(&mut &bytes[..]);
    assert_eq!(reply(b"-BUSY 5\r\n").as_deref(), Some("-BUSY 5"));
    assert_eq!(reply(b"$2\r\nid\r\n").as_deref(), Some("id"));
    assert_eq!(reply(&backend_reply("00ff")).as_deref(), Some("00ff"));
    assert_eq!(reply(b"*1\r\n$-1\r\n").as_deref(), Some("$-1"));
    assert_eq!(reply(b"*0\r\n"), None);
}
