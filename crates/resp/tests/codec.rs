//! Parsing of split, malformed and oversized input, and the exact bytes of forwarded commands.

use fuzz_inputs::{assert_no_panic_on_malformed_input, assert_same_result_for_any_split};
use resp::{MAX_BULK_BYTES, MalformedInput, RequestCommand};

const COMMANDS: &[u8] =
    b"*1\r\n$4\r\nPING\r\n*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000b4d65521\r\n$16\r\n9b1f03aa5c7e2d41\r\n\
    $41\r\nc=lookup,t=team,d=480,units=2,spread=3,f=1\r\n";
const ANSWERS: &[u8] =
    b"*3\r\n$5\r\nva\r\nl\r\n*2\r\n:5\r\n+ok\r\n$-1\r\n-BUSY inflight=7\r\n*-1\r\n$0\r\n\r\n";

/// The items that were parsed before the input ended or an error occurred.
#[derive(Debug, PartialEq, Eq)]
struct Parsed<T> {
    items: Vec<T>,
    error: Option<MalformedInput>,
}

/// The arguments of one command.
type Arguments = Vec<Vec<u8>>;

/// Parses all commands of an input that arrives in pieces.
fn parse_commands(pieces: &[&[u8]]) -> Parsed<Arguments> {
    let (mut buffer, mut position, mut items) = (Vec::new(), 0, Vec::new());
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            match resp::parse_command(&buffer, position) {
                Ok(Some(command)) => {
                    let arguments = command.arguments.into_iter().map(|argument| buffer[argument].to_vec());
                    items.push(arguments.collect());
                    position = command.end;
                }
                Ok(None) => break,
                Err(error) => return Parsed { items, error: Some(error) },
            }
        }
    }
    Parsed { items, error: None }
}

/// Parses all messages of an input that arrives in pieces. The items are 0 and the offset after each message.
fn parse_message_ends(pieces: &[&[u8]]) -> Parsed<usize> {
    let (mut buffer, mut items) = (Vec::new(), vec![0]);
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            match resp::message_end(&buffer, items[items.len() - 1]) {
                Ok(Some(end)) => items.push(end),
                Ok(None) => break,
                Err(error) => return Parsed { items, error: Some(error) },
            }
        }
    }
    Parsed { items, error: None }
}

#[test]
fn parses_commands_and_answers_alike_however_they_are_split() {
    // The last bulk string is one byte longer than its length states, so an error follows the first command for every split.
    let parsed = parse_commands(&[COMMANDS]);
    assert_eq!((parsed.items.len(), parsed.error.is_some()), (1, true));
    let valid = [&COMMANDS[..14], b"*2\r\n$1\r\na\r\n$0\r\n\r\n"].concat();
    assert_eq!(parse_commands(&[&valid]).items, [vec![b"PING".to_vec()], vec![b"a".to_vec(), vec![]]]);
    assert_same_result_for_any_split(&valid, parse_commands);
    assert_same_result_for_any_split(COMMANDS, parse_commands);
    assert_eq!(parse_message_ends(&[ANSWERS]).items.last(), Some(&ANSWERS.len()));
    assert_same_result_for_any_split(ANSWERS, parse_message_ends);
}

#[test]
fn survives_malformed_commands_and_answers() {
    assert_no_panic_on_malformed_input(COMMANDS, |pieces| drop(parse_commands(pieces)));
    assert_no_panic_on_malformed_input(ANSWERS, |pieces| drop(parse_message_ends(pieces)));
}

#[test]
fn rejects_input_beyond_a_limit_before_it_arrives() {
    for bytes in [
        format!("*1\r\n${}\r\n", MAX_BULK_BYTES + 1),
        "*65\r\n".into(),
        "*1\r\n$-2\r\n".into(),
        "*0\r\n".into(),
        format!("+{}", "x".repeat(2000)),
        "*64\r\n".repeat(3),
        "*1\r\n$3\r\nabcde".into(),
        "+no carriage return\n".into(),
    ] {
        let command = resp::parse_command(bytes.as_bytes(), 0);
        let message = resp::message_end(bytes.as_bytes(), 0);
        assert!(command.is_err() || message.is_err(), "{bytes}");
    }
}

#[test]
fn forwards_a_command_with_another_deadline_and_all_else_unchanged() {
    let raw = b"*5\r\n$10\r\nSVC.SUBMIT\r\n$1\r\n7\r\n$1\r\n9\r\n$15\r\nc=x,d=1000,k=ab\r\n$3\r\n\0\r\n\r\n";
    let command = resp::parse_command(raw, 0).unwrap().unwrap();
    let query = RequestCommand::new(raw.to_vec(), command.arguments[3].clone()).unwrap();
    let mut out = Vec::new();
    query.encode_with_deadline(87, &mut out);
    assert_eq!(
        out,
        b"*5\r\n$10\r\nSVC.SUBMIT\r\n$1\r\n7\r\n$1\r\n9\r\n$13\r\nc=x,d=87,k=ab\r\n$3\r\n\0\r\n\r\n"
    );
    assert_eq!(
        RequestCommand::new(raw.to_vec(), command.arguments[2].clone()),
        None,
        "a list without a deadline"
    );
}
