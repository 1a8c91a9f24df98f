//! Damage, age and version of the file.

use super::*;
use crate::HealthStatus;

fn cached() -> CachedList {
    let address = "127.0.0.1:80".parse().expect("an address");
    let instance = Instance {
        id: "n/x".into(),
        address,
        health: HealthStatus::Passing,
        weight: 2.5,
        started_at: Some(7),
    };
    CachedList { confirmed_at: 1_000_000, services: BTreeMap::from([("loans".into(), vec![instance])]) }
}

#[test]
fn reads_back_what_it_wrote_with_its_age() {
    assert_eq!(
        CachedList::decode(cached().encode().as_bytes(), 1_042_000, 100),
        Ok(AgedList { list: cached(), age_seconds: 42 })
    );
}

#[test]
fn rejects_a_file_truncated_or_altered_at_any_byte() {
    let text = cached().encode().into_bytes();
    for at in 0..text.len() {
        assert!(CachedList::decode(&text[..at], 1_000_000, 100).is_err(), "cut at {at}");
        let mut other = text.clone();
        other[at] ^= 1;
        assert!(CachedList::decode(&other, 1_000_000, 100).is_err(), "byte {at}");
    }
}

#[test]
fn says_why_a_file_is_rejected() {
    let text = cached().encode();
    let read = |text: &str, now| CachedList::decode(text.as_bytes(), now, 100).expect_err("rejected");
    assert_eq!(read(&text, 1_200_000), CachedListError::TooOld { age_seconds: 200 });
    assert_eq!(read(&text, 100_000), CachedListError::FromTheFuture { ahead_seconds: 900 });
    assert_eq!(read(&text.replacen(" 1 ", " 2 ", 1), 1_000_000), CachedListError::UnknownVersion("2".into()));
    assert_eq!(read("{}\n", 1_000_000), CachedListError::NotAListFile);
    assert_eq!(read(&text[..text.len() - 9], 1_000_000), CachedListError::Corrupt);
}
