//! Tests of the digest, the retention and the order of failures.

use super::*;

const START: MonotonicTime = MonotonicTime::ZERO;
const MAX_AGE: Duration = Duration::from_millis(100);

fn log_of(fingerprints: &[u64]) -> FailureLog {
    let mut log = FailureLog::default();
    fingerprints.iter().for_each(|&fingerprint| log.add_failure(START, MemberFingerprint(fingerprint)));
    log
}

#[test]
fn the_digest_depends_only_on_the_set_of_failures() {
    assert_eq!(log_of(&[1, 2, 4]).digest(), log_of(&[4, 4, 1, 2]).digest());
    assert_ne!(log_of(&[1, 2, 4]).digest(), log_of(&[1, 2]).digest());
}

#[test]
fn old_failures_are_removed_from_the_log_and_its_digest() {
    let mut log = log_of(&[1, 2]);
    log.add_failure(START + 5 * MAX_AGE, MemberFingerprint(4));
    let now = START + Duration::from_millis(550);
    assert_eq!((log.count_within(MAX_AGE, now), log.count_within(6 * MAX_AGE, now)), (1, 3));
    log.remove_older_than(MAX_AGE, now);
    assert_eq!(log.digest(), log_of(&[4]).digest());
    assert_eq!(log.rotated(0).collect::<Vec<_>>(), [MemberFingerprint(4)]);
}

#[test]
fn the_rotation_starts_at_the_offset_and_contains_all_failures() {
    let rotated: Vec<u64> = log_of(&[1, 2, 3]).rotated(4).map(|fingerprint| fingerprint.0).collect();
    assert_eq!(rotated, [2, 3, 1]);
}

#[test]
fn the_failure_log_is_bounded() {
    let mut log = FailureLog::default();
    (0..2 * MAX_FAILURES as u64)
        .for_each(|fingerprint| log.add_failure(START, MemberFingerprint(fingerprint)));
    assert_eq!(log.rotated(0).count(), MAX_FAILURES);
}
