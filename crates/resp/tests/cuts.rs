//! Random cuts and garbage against the codec, and the exact bytes that go on.

use fuzz_inputs::{parses_alike_however_split, survives_garbage};
use resp::{LARGEST_BULK, Malformed, Query};

const COMMANDS: &[u8] =
    b"*1\r\n$4\r\nPING\r\n*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000b4d65521\r\n$16\r\n9b1f03aa5c7e2d41\r\n\
    $41\r\nc=lookup,t=team,d=480,units=2,spread=3,f=1\r\n";
const ANSWERS: &[u8] =
    b"*3\r\n$5\r\nva\r\nl\r\n*2\r\n:5\r\n+ok\r\n$-1\r\n-BUSY inflight=7\r\n*-1\r\n$0\r\n\r\n";

/// All commands, each as its arguments, and the error at the end if there is one.
fn commands(pieces: &[&[u8]]) -> (Vec<Vec<Vec<u8>>>, Option<Malformed>) {
    let (mut buffer, mut at, mut all) = (Vec::new(), 0, Vec::new());
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            match resp::command(&buffer, at) {
                Ok(Some(command)) => {
                    all.push(command.arguments.iter().map(|w| buffer[w.clone()].to_vec()).collect());
                    at = command.end;
                }
                Ok(None) => break,
                Err(error) => return (all, Some(error)),
            }
        }
    }
    (all, None)
}

/// Where all messages end, and the error at the end if there is one.
fn ends(pieces: &[&[u8]]) -> (Vec<usize>, Option<Malformed>) {
    let (mut buffer, mut all) = (Vec::new(), vec![0]);
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            match resp::message_end(&buffer, all[all.len() - 1]) {
                Ok(Some(end)) => all.push(end),
                Ok(None) => break,
                Err(error) => return (all, Some(error)),
            }
        }
    }
    (all, None)
}

#[test]
fn commands_and_answers_are_the_same_however_they_are_cut() {
    // The list is one byte longer than its frame says: two commands, then an error that must come in every cut.
    let (whole, error) = commands(&[COMMANDS]);
    assert_eq!((whole.len(), error.is_some()), (1, true));
    let valid = [&COMMANDS[..14], b"*2\r\n$1\r\na\r\n$0\r\n\r\n"].concat();
    assert_eq!(commands(&[&valid]).0, [vec![b"PING".to_vec()], vec![b"a".to_vec(), vec![]]]);
    parses_alike_however_split(&valid, commands);
    parses_alike_however_split(COMMANDS, commands);
    assert_eq!(ends(&[ANSWERS]).0.last(), Some(&ANSWERS.len()));
    parses_alike_however_split(ANSWERS, ends);
}

#[test]
fn garbage_is_an_error_and_no_panic() {
    survives_garbage(COMMANDS, |pieces| drop(commands(pieces)));
    survives_garbage(ANSWERS, |pieces| drop(ends(pieces)));
}

#[test]
fn what_passes_a_limit_is_an_error_before_it_is_taken_in() {
    for bytes in [
        format!("*1\r\n${}\r\n", LARGEST_BULK + 1),
        "*65\r\n".into(),
        "*1\r\n$-2\r\n".into(),
        "*0\r\n".into(),
        format!("+{}", "x".repeat(2000)),
        "*64\r\n".repeat(3),
        "*1\r\n$3\r\nabcde".into(),
        "+no carriage return\n".into(),
    ] {
        let command = resp::command(bytes.as_bytes(), 0);
        let message = resp::message_end(bytes.as_bytes(), 0);
        assert!(command.is_err() || message.is_err(), "{bytes}");
    }
}

#[test]
fn a_query_goes_on_as_it_came_but_for_its_wait() {
    let raw = b"*5\r\n$10\r\nSVC.SUBMIT\r\n$1\r\n7\r\n$1\r\n9\r\n$15\r\nc=x,d=1000,k=ab\r\n$3\r\n\0\r\n\r\n";
    let command = resp::command(raw, 0).unwrap().unwrap();
    let query = Query::new(raw.to_vec(), command.arguments[3].clone()).unwrap();
    let mut out = Vec::new();
    query.put(87, &mut out);
    assert_eq!(
        out,
        b"*5\r\n$10\r\nSVC.SUBMIT\r\n$1\r\n7\r\n$1\r\n9\r\n$13\r\nc=x,d=87,k=ab\r\n$3\r\n\0\r\n\r\n"
    );
    assert_eq!(
        Query::new(raw.to_vec(), command.arguments[2].clone()),
        None,
        "without d there is nothing to say"
    );
}
