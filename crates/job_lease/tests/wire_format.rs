//! What an earlier build sent to Consul and stored there: this build writes the same bytes and reads them.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use job_lease::consul::{Answer, Keys, Request};
use job_lease::{Put, Record, Session};

/// The requests of the earlier build: method, target and body, a line each.
const REQUESTS: &str = include_str!("fixtures/requests.txt");
/// The value of a claim, and that of a seed, as they stand under a key.
const CLAIM: &str = include_str!("fixtures/claim.json");
const SEED: &str = include_str!("fixtures/seed.json");

fn keys() -> Keys {
    Keys { prefix: "snow field".into() }
}

fn session() -> Session {
    let body = br#"{"ID":"adf4238a-882b-9ddc-4a9d-5b6758e4159e"}"#.to_vec();
    keys().opened(&Answer { status: 200, index: 0, body }).expect("a session")
}

fn claim() -> Record {
    Record { round: 1_800_000_000_123, by: "muscat-1".into(), id: u64::MAX }
}

fn seed() -> Record {
    Record { round: 1_800_000_000_456, by: String::new(), id: 0 }
}

fn line(request: &Request) -> String {
    format!("{} {}\n{}\n", request.method, request.target, request.body)
}

#[test]
fn requests_to_consul_are_those_of_the_earlier_build() {
    let (keys, session) = (keys(), session());
    let requests = [
        keys.open("muscat-1", 10),
        keys.hold(&session, "muscat-1"),
        Keys::renew(&session),
        Keys::close(&session),
        keys.read(Some("call/close-of-day")),
        keys.read(None),
        keys.put(&session, "call/close-of-day", &claim(), 42),
        keys.put(&session, "probe/loans/10 1", &seed(), 0),
    ];
    let written: String = requests.iter().map(line).collect();
    assert_eq!(written, REQUESTS);
}

#[test]
fn records_of_the_earlier_build_are_read_and_written_alike() {
    for (stored, record) in [(CLAIM, claim()), (SEED, seed())] {
        assert_eq!(serde_json::from_str::<Record>(stored).expect("a record"), record);
        assert_eq!(serde_json::to_string(&record).expect("JSON"), stored);
    }
}

#[test]
fn a_stored_record_is_found_in_a_listing_and_a_cut_one_is_an_error() {
    let names = ["call/close-of-day".to_owned()];
    let listing = |value: &str| {
        let value = STANDARD.encode(value);
        let key = "snow field/duties/call/close-of-day";
        let body = format!(r#"[{{"Key":"{key}","ModifyIndex":7,"Value":"{value}"}}]"#).into_bytes();
        keys().found(&Answer { status: 200, index: 9, body }, &names)
    };
    for (stored, record) in [(CLAIM, claim()), (SEED, seed())] {
        let found = listing(stored).expect("a listing");
        assert_eq!(found.held[0].1.as_ref().map(|held| (&held.record, held.index)), Some((&record, 7)));
        assert!((0..stored.len()).all(|end| listing(&stored[..end]).is_err()));
    }
}

#[test]
fn the_answer_to_a_transaction_names_the_key_of_the_earlier_build() {
    let key = "snow field/duties/call/close-of-day";
    let body =
        format!(r#"{{"Results":[{{"KV":{{"Key":"{key}","ModifyIndex":12}}}}],"Errors":null}}"#).into_bytes();
    let answer = Answer { status: 200, index: 0, body };
    assert_eq!(keys().claimed(&answer, "call/close-of-day"), Put::Won { index: 12 });
}
