//! Compatibility of the cache file with version 0.1.0: this version reads that version's file and writes the same bytes.

use catalogue::{AgedList, CachedList, CachedListError, HealthStatus, Instance};
use std::collections::BTreeMap;
use std::time::Duration;
use timestamps::UnixTime;

const FIXTURE: &[u8] = include_bytes!("fixtures/loans.list");
/// When Consul confirmed the list of the fixture.
const CONFIRMED_AT: UnixTime = UnixTime::from_millis(1_700_000_000_000);
const MAX_AGE: Duration = Duration::from_secs(100);

fn fixture_list() -> CachedList {
    let instance = |id: &str, address: &str, health, weight, started_ms: Option<u64>| Instance {
        id: id.into(),
        address: address.parse().expect("a valid address"),
        health,
        weight,
        started_at: started_ms.map(UnixTime::from_millis),
    };
    let loans = vec![
        instance("a/l0", "127.0.0.1:8500", HealthStatus::Passing, 1.0, None),
        instance("a/l1", "127.0.0.2:8500", HealthStatus::Warning, 2.5, Some(1_699_999_000_000)),
        instance("b/l2", "[::1]:80", HealthStatus::Passing, 0.125, Some(0)),
    ];
    CachedList {
        confirmed_at: CONFIRMED_AT,
        services: BTreeMap::from([("loans".into(), loans), ("rates".into(), vec![])]),
    }
}

#[test]
fn reads_the_file_of_version_0_1_0() {
    let read = CachedList::decode(FIXTURE, CONFIRMED_AT + Duration::from_secs(42), MAX_AGE);
    assert_eq!(read, Ok(AgedList { list: fixture_list(), age: Duration::from_secs(42) }));
}

#[test]
fn writes_the_same_bytes_as_version_0_1_0() {
    assert_eq!(fixture_list().encode().as_bytes(), FIXTURE);
}

#[test]
fn rejects_a_truncated_or_damaged_file_of_version_0_1_0() {
    for length in 0..FIXTURE.len() {
        let read = CachedList::decode(&FIXTURE[..length], CONFIRMED_AT, MAX_AGE);
        assert!(read.is_err(), "truncated to {length} bytes");
        let mut damaged = FIXTURE.to_vec();
        damaged[length] ^= 1;
        assert!(CachedList::decode(&damaged, CONFIRMED_AT, MAX_AGE).is_err(), "byte {length} altered");
    }
    let late = CONFIRMED_AT + Duration::from_secs(200);
    assert_eq!(
        CachedList::decode(FIXTURE, late, MAX_AGE),
        Err(CachedListError::TooOld { age: Duration::from_secs(200) })
    );
}
