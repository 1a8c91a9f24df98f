//! Wire compatibility with an earlier build, whose requests and records are in the fixtures: this build writes the same
//! requests and records, and reads the earlier build's records.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use job_lease::consul::{LeaseKeys, Request, Response};
use job_lease::{CompareAndSetOutcome, LeaseRecord, RunId, Session};
use std::time::Duration;

/// The requests of the earlier build, each as a line with method and target and a line with the body.
const REQUESTS: &str = include_str!("fixtures/requests.txt");
/// A lease record, and a seed record (which settles runs without a lease holder), as stored by the earlier build.
const LEASE: &str = include_str!("fixtures/lease.json");
const SEED: &str = include_str!("fixtures/seed.json");
/// The name of a job, and the job's key in the store.
const JOB: &str = "call/close-of-day";
const JOB_KEY: &str = "snow field/duties/call/close-of-day";

fn keys() -> LeaseKeys {
    LeaseKeys { prefix: "snow field".into() }
}

fn session() -> Session {
    let body = br#"{"ID":"adf4238a-882b-9ddc-4a9d-5b6758e4159e"}"#.to_vec();
    keys().created_session(&Response { status: 200, index: 0, body }).expect("a session")
}

fn lease() -> LeaseRecord {
    LeaseRecord { run: RunId(1_800_000_000_123), holder: "muscat-1".into(), lease_id: u64::MAX }
}

fn seed() -> LeaseRecord {
    LeaseRecord::seed(RunId(1_800_000_000_456))
}

fn fixture_text(request: &Request) -> String {
    format!("{} {}\n{}\n", request.method.as_str(), request.target, request.body)
}

#[test]
fn requests_to_consul_equal_those_of_the_earlier_build() {
    let (keys, session) = (keys(), session());
    let requests = [
        Request::create_session("muscat-1", Duration::from_secs(10)),
        Request::acquire_session_key(&session, "muscat-1"),
        Request::renew_session(&session),
        Request::destroy_session(&session),
        keys.read_request(Some(JOB)),
        keys.read_request(None),
        keys.compare_and_set_request(&session, JOB, &lease(), 42),
        keys.compare_and_set_request(&session, "probe/loans/10 1", &seed(), 0),
    ];
    let written: String = requests.iter().map(fixture_text).collect();
    assert_eq!(written, REQUESTS);
}

#[test]
fn records_of_the_earlier_build_decode_and_encode_to_the_same_bytes() {
    for (stored, record) in [(LEASE, lease()), (SEED, seed())] {
        assert_eq!(serde_json::from_str::<LeaseRecord>(stored).expect("a record"), record);
        assert_eq!(serde_json::to_string(&record).expect("JSON"), stored);
    }
}

#[test]
fn a_stored_record_is_listed_and_a_truncated_one_is_an_error() {
    let jobs = [JOB.to_owned()];
    let listing = |value: &str| {
        let value = STANDARD.encode(value);
        let body = format!(r#"[{{"Key":"{JOB_KEY}","ModifyIndex":7,"Value":"{value}"}}]"#).into_bytes();
        keys().listing(&Response { status: 200, index: 9, body }, &jobs)
    };
    for (stored, record) in [(LEASE, lease()), (SEED, seed())] {
        let found = listing(stored).expect("a listing");
        assert_eq!(
            found.leases[0].lease.as_ref().map(|lease| (&lease.record, lease.modify_index)),
            Some((&record, 7))
        );
        assert!((0..stored.len()).all(|end| listing(&stored[..end]).is_err()));
    }
}

#[test]
fn a_transaction_on_the_key_of_the_earlier_build_is_applied() {
    let body = format!(r#"{{"Results":[{{"KV":{{"Key":"{JOB_KEY}","ModifyIndex":12}}}}],"Errors":null}}"#)
        .into_bytes();
    let response = Response { status: 200, index: 0, body };
    let outcome = keys().compare_and_set_outcome(&response, JOB);
    assert!(matches!(outcome, CompareAndSetOutcome::Applied { modify_index: 12 }));
}
