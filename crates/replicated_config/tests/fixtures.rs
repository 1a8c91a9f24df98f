//! Stored and exchanged forms: the bytes in `fixtures/` were written by release 0.1 at commit 1461877. They are read, and
//! written byte for byte alike.

mod fixture;

use fixture::{hex, matches_fixture, named_bytes};
use replicated_config::{
    Answer, Ask, Base, Change, Entry, Kept, Line, Outcome, Record, Stage, Version, Versions, Word,
};

fn version(number: u64) -> Version {
    Version { number, by: format!("author-{number}"), text: format!("[[plan]]\nname = \"p{number}\"\n") }
}

/// One of each message, but for those between replicas: `transcript.rs` has these.
fn messages() -> Vec<(&'static str, Word)> {
    let answer = |version, stage| Answer { question: 1_764_653_000_000_123, version, stage };
    vec![
        (
            "lease_request",
            Word::Ask(Ask {
                who: "muscat-1".into(),
                question: 1_764_653_000_000_123,
                leases: true,
                knew: 299,
                has: (298, 299),
            }),
        ),
        (
            "read_request_without_lease",
            Word::Ask(Ask {
                who: "console-7".into(),
                question: u64::MAX,
                leases: false,
                knew: 0,
                has: (0, 0),
            }),
        ),
        ("lease_response_without_texts", Word::Answer(answer(300, Stage::InForce), Box::new((None, None)))),
        (
            "lease_response_in_force",
            Word::Answer(answer(300, Stage::InForce), Box::new((Some(version(300)), None))),
        ),
        (
            "lease_response_proposed",
            Word::Answer(answer(300, Stage::Proposed), Box::new((Some(version(299)), Some(version(300))))),
        ),
        ("lease_request_redirected", Word::Elsewhere(41, Some(2))),
        ("lease_request_without_leader", Word::Elsewhere(41, None)),
        ("proposal_redirected", Word::NotHere(0xfedc_ba98_7654_3210, Some(3))),
        ("proposal_without_leader", Word::NotHere(9, None)),
        ("version_changed", Word::Changed(300)),
        (
            "proposal_with_expected_version",
            Word::Propose(Change {
                id: 0xfedc_ba98_7654_3210,
                by: "staff".into(),
                expect: Some(299),
                text: version(300).text,
            }),
        ),
        (
            "proposal_without_expected_version",
            Word::Propose(Change { id: 9, by: String::new(), expect: None, text: "ü".into() }),
        ),
        ("outcome_accepted", Word::Proposed(9, Outcome::Taken(300))),
        ("outcome_conflict", Word::Proposed(9, Outcome::Other(301, "other".into()))),
        ("outcome_in_progress", Word::Proposed(9, Outcome::Busy(302, "third".into()))),
        ("outcome_too_large", Word::Proposed(9, Outcome::TooLarge)),
        ("outcome_rejected", Word::Proposed(9, Outcome::Refused("plan \"z\" is none".into()))),
    ]
}

#[test]
fn messages_are_read_and_written_as_before() {
    let written: Vec<_> = messages().into_iter().map(|(name, word)| (name, word.bytes())).collect();
    matches_fixture("messages.txt", &named_bytes(&written));
    for ((name, word), (_, bytes)) in messages().into_iter().zip(written) {
        assert_eq!(Word::read(&bytes), Some(word), "{name}");
        // What is cut is no message.
        (0..bytes.len()).for_each(|n| assert_eq!(Word::read(&bytes[..n]), None, "{name}, {n} bytes"));
    }
}

/// A replica never sends the library's request to stand for election at once, yet accepts it.
#[test]
fn a_timeout_now_message_is_read_and_written_as_before() {
    let bytes = [0, 14, 2, 1, 5, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    let word = Word::read(&bytes).expect("it is a message");
    assert_eq!(hex(&word.bytes()), hex(&bytes));
}

fn entry_of(index: u64) -> Line {
    Line { index, term: 3, data: vec![index as u8, 0, 255] }
}

fn records() -> Vec<(&'static str, Record)> {
    vec![
        ("hard_state", Record::Hard(3, 2, 299)),
        ("entries", Record::Lines(vec![Line::default(), entry_of(299), entry_of(300)])),
        ("snapshot", Record::Base(Base { index: 300, term: 3, state: vec![1, 2, 3] })),
    ]
}

#[test]
fn log_records_are_read_and_written_as_before() {
    let bytes = |record: &Record| postcard::to_stdvec(record).expect("it has a form");
    let written: Vec<_> = records().iter().map(|(name, record)| (*name, bytes(record))).collect();
    matches_fixture("records.txt", &named_bytes(&written));
    for ((name, record), (_, bytes)) in records().into_iter().zip(written) {
        assert_eq!(postcard::from_bytes(&bytes), Ok(record), "{name}");
        for n in 0..bytes.len() {
            assert!(postcard::from_bytes::<Record>(&bytes[..n]).is_err(), "{name}, {n} bytes");
        }
    }
}

#[test]
fn the_durable_state_is_read_and_written_as_before() {
    let mut kept = Kept::default();
    kept.take(Record::Base(Base { index: 298, term: 2, state: vec![9] })).expect("it follows");
    kept.take(Record::Lines(vec![entry_of(299), entry_of(300)])).expect("it follows");
    kept.take(Record::Hard(3, 1, 299)).expect("it follows");
    let bytes = postcard::to_stdvec(&kept).expect("it has a form");
    matches_fixture("durable_state.txt", &named_bytes(&[("durable_state", bytes.clone())]));
    assert_eq!(postcard::from_bytes(&bytes), Ok(kept));
}

#[test]
fn log_commands_and_the_state_are_read_and_written_as_before() {
    let propose = |id: u64, expect| {
        Entry::Propose(Change { id, by: format!("p{id}"), expect, text: format!("text {id}") })
    };
    let large = "x".repeat(256 * 1024 + 1);
    let entries = [
        ("propose", propose(300, None)),
        ("in_progress", propose(301, Some(0))),
        ("force", Entry::Force(1)),
        ("propose_expecting", propose(302, Some(1))),
        ("force_second", Entry::Force(2)),
        ("conflict", propose(303, Some(1))),
        ("propose_third", propose(u64::MAX, None)),
    ];
    let mut versions = Versions::default();
    versions.take(Entry::Propose(Change { id: 1, by: "p".into(), expect: None, text: large }));
    let mut written =
        vec![("initial_state", postcard::to_stdvec(&Versions::default()).expect("it has a form"))];
    for (name, entry) in entries {
        let bytes = postcard::to_stdvec(&entry).expect("it has a form");
        assert_eq!(postcard::from_bytes(&bytes), Ok(entry.clone()), "{name}");
        written.push((name, bytes));
        versions.take(entry);
    }
    let bytes = postcard::to_stdvec(&versions).expect("it has a form");
    written.push(("state", bytes.clone()));
    matches_fixture("state.txt", &named_bytes(&written));
    assert_eq!(postcard::from_bytes(&bytes), Ok(versions));
    for n in 0..bytes.len() {
        assert!(postcard::from_bytes::<Versions>(&bytes[..n]).is_err(), "{n} bytes");
    }
}
