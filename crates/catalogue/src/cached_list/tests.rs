//! Rejection of cache files that are damaged, too old or of another version.

use super::*;
use crate::HealthStatus;

const MAX_AGE: Duration = Duration::from_secs(100);

const fn unix_millis(millis: u64) -> UnixTime {
    UnixTime::from_millis(millis)
}

fn sample_list() -> CachedList {
    let address = "127.0.0.1:80".parse().expect("a valid address");
    let instance = Instance {
        id: "n/x".into(),
        address,
        health: HealthStatus::Passing,
        weight: 2.5,
        started_at: Some(unix_millis(7)),
    };
    CachedList {
        confirmed_at: unix_millis(1_000_000),
        services: BTreeMap::from([("loans".into(), vec![instance])]),
    }
}

#[test]
fn decodes_an_encoded_list_and_its_age() {
    assert_eq!(
        CachedList::decode(sample_list().encode().as_bytes(), unix_millis(1_042_000), MAX_AGE),
        Ok(AgedList { list: sample_list(), age: Duration::from_secs(42) })
    );
}

#[test]
fn rejects_a_file_truncated_or_altered_at_any_byte() {
    let text = sample_list().encode().into_bytes();
    for position in 0..text.len() {
        assert!(
            CachedList::decode(&text[..position], unix_millis(1_000_000), MAX_AGE).is_err(),
            "truncated to {position} bytes"
        );
        let mut altered = text.clone();
        altered[position] ^= 1;
        assert!(
            CachedList::decode(&altered, unix_millis(1_000_000), MAX_AGE).is_err(),
            "byte {position} altered"
        );
    }
}

#[test]
fn reports_why_a_file_is_rejected() {
    let text = sample_list().encode();
    let rejection = |text: &str, now_ms| {
        CachedList::decode(text.as_bytes(), unix_millis(now_ms), MAX_AGE).expect_err("the file is rejected")
    };
    assert_eq!(rejection(&text, 1_200_000), CachedListError::TooOld { age: Duration::from_secs(200) });
    assert_eq!(rejection(&text, 100_000), CachedListError::DatedInFuture { ahead: Duration::from_secs(900) });
    assert_eq!(
        rejection(&text.replacen(" 1 ", " 2 ", 1), 1_000_000),
        CachedListError::UnsupportedVersion("2".into())
    );
    assert_eq!(rejection("{}\n", 1_000_000), CachedListError::NotACacheFile);
    assert_eq!(rejection(&text[..text.len() - 9], 1_000_000), CachedListError::Corrupt);
}
