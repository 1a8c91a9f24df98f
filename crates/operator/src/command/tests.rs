//! Parsing of valid command lines, and the error texts for invalid ones.

use super::*;

#[test]
fn each_command_is_one_line() {
    assert_eq!(Command::parse(b"readyz"), Ok(Command::Ready));
    assert_eq!(Command::parse(b"telemetry\r"), Ok(Command::Metrics));
    assert_eq!(Command::parse(b"exclude s-1"), Ok(Command::Eject("s-1".into())));
    assert_eq!(Command::parse(b"include  s-1 "), Ok(Command::Restore("s-1".into())));
    for bad in ["", " ", "READYZ", "readyz now", "exclude", "include a b", "exclude \u{e9} x", "stop"] {
        assert!(Command::parse(bad.as_bytes()).is_err(), "{bad:?}");
    }
    assert!(Command::parse(b"exclude \xff").is_err());
    assert!(Command::parse(&[b'x'; MAX_LINE_BYTES + 1]).is_err());
}

#[test]
fn each_rejected_line_has_its_own_text() {
    let text = |line: &[u8]| Command::parse(line).expect_err("the line is not a valid command").to_string();
    assert_eq!(text(&[b'x'; MAX_LINE_BYTES + 1]), "the line is too long");
    assert_eq!(text(b"exclude \xff"), "the line is no text");
    assert_eq!(text(b" "), "an empty line");
    assert_eq!(text(b"include a b"), "too many words");
    assert_eq!(text(b"readyz now"), "this call takes no id");
    assert_eq!(text(b"exclude"), "this call takes the id of a loan server");
    assert_eq!(text(b"stop"), "unknown call; known are readyz, telemetry, exclude ID and include ID");
}

#[test]
fn garbage_is_rejected_without_a_panic() {
    fuzz_inputs::assert_no_panic_on_malformed_input(b"exclude s-5be2a07c", |pieces| {
        if let Ok(Command::Eject(id) | Command::Restore(id)) = Command::parse(&pieces.concat()) {
            assert!(!id.is_empty());
        }
    });
}
