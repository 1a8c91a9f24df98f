//! What a destination's RESP2 answers mean.

use destination::{Parsed, Protocol, RespProtocol};
use exchange::AnswerBody;
use fuzz_inputs::{parses_alike_however_split, survives_garbage};
use policy::{LoadMetric, Outcome};
use resp::Query;

fn destination() -> RespProtocol {
    RespProtocol::new(&[LoadMetric::InFlight, LoadMetric::Queued, LoadMetric::ServiceTimeMillis])
}

fn query() -> Query {
    Query::new(b"$3\r\nd=9\r\n".to_vec(), 4..7).expect("it has a wait")
}

type End = (Outcome, Option<Vec<u8>>, Vec<f32>);

/// The end that the bytes tell and what they took; `Err` where none can come, `None` where more must.
fn read(bytes: &[u8]) -> Option<Result<(usize, End), &'static str>> {
    match destination().parse(&query(), bytes, false) {
        Parsed::Incomplete => None,
        Parsed::Complete { consumed: used, end, .. } => {
            let answer = end.answer.map(|answer| match answer {
                AnswerBody::Complete(bytes) => bytes,
                AnswerBody::Stream(_) => panic!("a whole answer holds all its bytes"),
            });
            Some(Ok((used, (end.outcome, answer, end.load))))
        }
        Parsed::Streamed(_) => Some(Err("a long answer")),
        Parsed::Malformed(text) => Some(Err(text)),
    }
}

/// Guards the border between answers that are held and those that are passed on, and what stands behind the latter.
#[test]
fn long_answers_begin_with_their_head_and_end_with_a_sound_tail() {
    let begun = |text: &str| match destination().parse(&query(), text.as_bytes(), false) {
        Parsed::Streamed(long) => Some((long.consumed, long.head, long.value_bytes, long.trailing_items)),
        _ => None,
    };
    assert_eq!(begun("*3\r\n$65537\r\nab"), Some((12, b"$65537\r\n".to_vec(), 65_537, 2)));
    for text in ["*3\r\n$65536\r\nab", "*3\r\n$65537", "*0\r\n", "*3\r\n$3000000000\r\n", "*3\r\n$-65537\r\n"]
    {
        assert_eq!(begun(text), None, "{text:?}");
    }
    let tail = |text: &[u8]| {
        destination().parse_tail(2, text).map(|tail| tail.map(|tail| (tail.consumed, tail.forwarded)))
    };
    let whole = b"\r\n$-1\r\n$12\r\ninflight=7,q\r\n";
    assert_eq!(tail(&[&whole[..], b"noise"].concat()), Ok(Some((whole.len(), &b"\r\n"[..]))));
    (0..whole.len()).for_each(|cut| assert_eq!(tail(&whole[..cut]), Ok(None), "cut at {cut}"));
    assert!(tail(b"xy$-1\r\n$-1\r\n").is_err() && tail(b"\r\n$-1\r\n$x\r\n").is_err());
    survives_garbage(whole, |pieces| {
        let _ = destination().parse_tail(2, &pieces.concat());
    });
}

#[test]
fn each_form_of_answer_has_its_outcome() {
    let load = vec![7.0, 2.0, 51.5];
    for (bytes, outcome, answer, load) in [
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
        let got = read(bytes.as_bytes());
        if bytes.contains("$33") {
            // Its frame is a byte too short: no answer can come of it.
            assert!(matches!(got, Some(Err(_))), "{bytes:?}: {got:?}");
            continue;
        }
        let answer = answer.map(|a| a.as_bytes().to_vec());
        assert_eq!(got, Some(Ok((bytes.len(), (outcome, answer, load)))), "{bytes:?}");
    }
    // The last ones are found before they are whole: no answer begins so.
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
        assert!(matches!(read(bytes.as_bytes()), Some(Err(_))), "{bytes:?}");
    }
}

/// Guards against a destination that looks idle since its report cannot be read: unknown is no zero. And the value in
/// front of such a report is good: it is served.
#[test]
fn a_good_value_with_an_unreadable_report_is_served_and_its_load_is_unknown() {
    for (report, known) in [
        ("$3\r\n=,=\r\n", ""),
        ("$18\r\ninflight=x,queue=-\r\n", ""),
        ("$20\r\ninflight=inf,queue=2\r\n", "[NaN, 2.0, NaN]"),
    ] {
        let (used, (outcome, answer, load)) = read(format!("*3\r\n$2\r\nhi\r\n$-1\r\n{report}").as_bytes())
            .expect("it is whole")
            .expect("it is good");
        assert_eq!((outcome, answer), (Outcome::Ok, Some(b"$2\r\nhi\r\n".to_vec())), "{report}");
        assert_eq!(used, 17 + report.len());
        assert_eq!(if load.is_empty() { String::new() } else { format!("{load:?}") }, known);
    }
    let bytes = b"*3\r\n$2\r\nhi\r\n:x\r\n$-1\r\n";
    assert_eq!(read(bytes), Some(Ok((bytes.len(), (Outcome::Ok, Some(b"$2\r\nhi\r\n".to_vec()), vec![])))));
    // A value that a wrong length cuts where it holds the end of a line: the rest gives it away.
    assert!(matches!(read(b"*3\r\n$2\r\nhi\r\nthe rest\r\n$-1\r\n$-1\r\n"), Some(Err(_))));
}

#[test]
fn an_answer_is_the_same_however_it_is_cut_and_garbage_is_no_panic() {
    let bytes = b"*3\r\n$2\r\nhi\r\n*2\r\n$1\r\na\r\n:3\r\n$34\r\ninflight=7,queue=2,latency_ms=51.5\r\n";
    let first = |pieces: &[&[u8]]| {
        let mut buffer = Vec::new();
        pieces.iter().find_map(|piece| {
            buffer.extend_from_slice(piece);
            read(&buffer)
        })
    };
    assert!(matches!(first(&[bytes]), Some(Ok((used, _))) if used == bytes.len()));
    parses_alike_however_split(bytes, first);
    survives_garbage(bytes, |pieces| drop(first(pieces)));
}
