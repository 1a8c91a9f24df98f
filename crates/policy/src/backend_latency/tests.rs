//! Tests of the latency estimate of a single backend.

use super::*;

const SECOND: u64 = 1_000_000;

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_micros(seconds * SECOND)
}

#[test]
fn the_expected_latency_rises_with_slow_samples_and_returns_to_the_representative_latency() {
    let mut latency = BackendLatency::new(at(0));
    for _ in 0..20 {
        latency.record_sample(10.0, at(1));
    }
    let fresh = latency.expected_relative_latency(1.0, at(1));
    assert!(fresh > 8.0, "{fresh}");
    let aged = latency.expected_relative_latency(1.0, at(61));
    assert!((1.0..1.1).contains(&aged), "{aged}");
    assert!(latency.expected_relative_latency(3.0, at(61)) > 2.9);
}

#[test]
fn a_sample_is_representative_only_if_the_estimate_was_old_and_good() {
    let mut latency = BackendLatency::new(at(0));
    assert_eq!(latency.record_sample(20.0, at(1)), SampleKind::Unrepresentative);
    assert_eq!(
        latency.record_sample(1.0, at(9)),
        SampleKind::Unrepresentative,
        "the backend had a high latency"
    );
    let mut good = BackendLatency::new(at(0));
    assert_eq!(good.record_sample(1.0, at(9)), SampleKind::Representative);
}
