//! Parsing of RESP2 answers into outcomes, values and load reports.

use destination::{Parsed, Protocol, RespProtocol};
use exchange::AnswerBody;
use fuzz_inputs::{assert_no_panic_on_malformed_input, assert_same_result_for_any_split};
use policy::{LoadMetric, Outcome};
use resp::RequestCommand;

fn protocol() -> RespProtocol {
    RespProtocol::new(&[LoadMetric::InFlight, LoadMetric::Queued, LoadMetric::ServiceTimeMillis])
}

fn query() -> RequestCommand {
    RequestCommand::new(b"$3\r\nd=9\r\n".to_vec(), 4..7).expect("the query has a deadline")
}

/// A complete answer.
#[derive(Debug, PartialEq)]
struct Answer {
    consumed: usize,
    outcome: Outcome,
    value: Option<Vec<u8>>,
    load: Vec<f32>,
}

/// Parses the bytes as an answer: `Err` if they cannot become a complete one, `None` if more must arrive.
fn parse(bytes: &[u8]) -> Option<Result<Answer, &'static str>> {
    match protocol().parse(&query(), bytes, false) {
        Parsed::Incomplete => None,
        Parsed::Complete { consumed, end, .. } => {
            let value = end.answer.map(|answer| match answer {
                AnswerBody::Complete(bytes) => bytes,
                AnswerBody::Stream(_) => panic!("a complete answer holds all its bytes"),
            });
            Some(Ok(Answer { consumed, outcome: end.outcome, value, load: end.load }))
        }
        Parsed::Streamed(_) => Some(Err("a streamed answer instead of a complete one")),
        Parsed::Malformed(text) => Some(Err(text)),
    }
}

/// Guards the size limit between buffered and streamed answers, and the parsing of the bytes after a streamed value.
#[test]
fn streamed_answers_begin_with_their_head_and_end_with_a_valid_tail() {
    let streamed = |text: &str| match protocol().parse(&query(), text.as_bytes(), false) {
        Parsed::Streamed(answer) => {
            Some((answer.consumed, answer.head, answer.value_bytes, answer.trailing_items))
        }
        _ => None,
    };
    assert_eq!(streamed("*3\r\n$65537\r\nab"), Some((12, b"$65537\r\n".to_vec(), 65_537, 2)));
    for text in ["*3\r\n$65536\r\nab", "*3\r\n$65537", "*0\r\n", "*3\r\n$3000000000\r\n", "*3\r\n$-65537\r\n"]
    {
        assert_eq!(streamed(text), None, "{text:?}");
    }
    let tail = |text: &[u8]| {
        protocol().parse_tail(2, text).map(|tail| tail.map(|tail| (tail.consumed, tail.forwarded)))
    };
    let complete = b"\r\n$-1\r\n$12\r\ninflight=7,q\r\n";
    assert_eq!(tail(&[&complete[..], b"noise"].concat()), Ok(Some((complete.len(), &b"\r\n"[..]))));
    (0..complete.len()).for_each(|cut| assert_eq!(tail(&complete[..cut]), Ok(None), "cut at {cut}"));
    assert!(tail(b"xy$-1\r\n$-1\r\n").is_err() && tail(b"\r\n$-1\r\n$x\r\n").is_err());
    assert_no_panic_on_malformed_input(complete, |pieces| {
        let _ = protocol().parse_tail(2, &pieces.concat());
    });
}

#[test]
fn each_form_of_answer_has_its_outcome() {
    let load = vec![7.0, 2.0, 51.5];
    for (bytes, outcome, value, load) in [
        (
            "*3\r\n$2\r\nhi\r\n$-1\r\n$33\r\ninflight=7,queue=2,latency_ms=51.5\r\n",
            Outcome::Ok,
            Some("$2\r\nhi\r\n"),
            vec![],
        ),
        (
            "*3\r\n$2\r\nhi\r\n$-1\r\n$34\r\ninflight=7,queue=2,latency_ms=51.5\r\n",
            Outcome::Ok,
            Some("$2\r\nhi\r\n"),
            load.clone(),
        ),
        ("*3\r\n$0\r\n\r\n*-1\r\n*-1\r\n", Outcome::Ok, Some("$0\r\n\r\n"), vec![]),
        ("*1\r\n$1\r\nx\r\n", Outcome::Ok, Some("$1\r\nx\r\n"), vec![]),
        ("-ERR failed\r\n", Outcome::Error, None, vec![]),
        ("-ERR failed inflight=7,queue=2,latency_ms=51.5\r\n", Outcome::Error, None, load.clone()),
        ("-BUSY\r\n", Outcome::Rejected, None, vec![]),
        ("-BUSY inflight=7,queue=2,latency_ms=51.5\r\n", Outcome::Rejected, None, load),
        ("-BUSYNESS\r\n", Outcome::Error, None, vec![]),
    ] {
        let parsed = parse(bytes.as_bytes());
        if bytes.contains("$33") {
            // The length prefix of the load report is one byte too small.
            assert!(matches!(parsed, Some(Err(_))), "{bytes:?}: {parsed:?}");
            continue;
        }
        let value = value.map(|value| value.as_bytes().to_vec());
        let answer = Answer { consumed: bytes.len(), outcome, value, load };
        assert_eq!(parsed, Some(Ok(answer)), "{bytes:?}");
    }
    // The last three are incomplete, but cannot be the beginning of a valid answer.
    for bytes in [
        "+OK\r\n",
        ":1\r\n",
        "*0\r\n",
        "*1\r\n:1\r\n",
        "$2\r\nhi\r\n",
        "*3\r\n$-1\r\n",
        "*3\r\n*3\r\n",
        "*3\r\n:",
    ] {
        assert!(matches!(parse(bytes.as_bytes()), Some(Err(_))), "{bytes:?}");
    }
}

/// Guards against a backend that seems idle because its load report is invalid, and against the loss of the valid value before
/// such a report.
#[test]
fn a_value_with_an_invalid_load_report_is_served_and_its_load_is_unknown() {
    for (report, known) in [
        ("$3\r\n=,=\r\n", ""),
        ("$18\r\ninflight=x,queue=-\r\n", ""),
        ("$20\r\ninflight=inf,queue=2\r\n", "[NaN, 2.0, NaN]"),
    ] {
        let bytes = format!("*3\r\n$2\r\nhi\r\n$-1\r\n{report}");
        let answer = parse(bytes.as_bytes()).expect("the answer is complete").expect("the answer is valid");
        assert_eq!((answer.outcome, answer.value), (Outcome::Ok, Some(b"$2\r\nhi\r\n".to_vec())), "{report}");
        assert_eq!(answer.consumed, 17 + report.len());
        let load = if answer.load.is_empty() { String::new() } else { format!("{:?}", answer.load) };
        assert_eq!(load, known);
    }
    let bytes = b"*3\r\n$2\r\nhi\r\n:x\r\n$-1\r\n";
    let value = Some(b"$2\r\nhi\r\n".to_vec());
    let answer = Answer { consumed: bytes.len(), outcome: Outcome::Ok, value, load: vec![] };
    assert_eq!(parse(bytes), Some(Ok(answer)));
    // If a wrong length ends at a line end within the value, the rest of the value is invalid as the next item.
    assert!(matches!(parse(b"*3\r\n$2\r\nhi\r\nthe rest\r\n$-1\r\n$-1\r\n"), Some(Err(_))));
}

#[test]
fn an_answer_is_the_same_however_it_is_split_and_garbage_causes_no_panic() {
    let bytes = b"*3\r\n$2\r\nhi\r\n*2\r\n$1\r\na\r\n:3\r\n$34\r\ninflight=7,queue=2,latency_ms=51.5\r\n";
    let first = |pieces: &[&[u8]]| {
        let mut buffer = Vec::new();
        pieces.iter().find_map(|piece| {
            buffer.extend_from_slice(piece);
            parse(&buffer)
        })
    };
    assert!(matches!(first(&[bytes]), Some(Ok(answer)) if answer.consumed == bytes.len()));
    assert_same_result_for_any_split(bytes, first);
    assert_no_panic_on_malformed_input(bytes, |pieces| drop(first(pieces)));
}
