//! Tests of the thresholds, the order of reports and the ejection limit.

use super::*;
use proptest::prelude::*;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn config() -> Config {
    Config {
        period: Duration::from_secs(1),
        unhealthy_threshold: 3,
        healthy_threshold: 2,
        max_ejected_fraction: 0.5,
    }
}

fn tracker(count: usize) -> HealthTracker {
    let mut tracker = HealthTracker::new(config());
    tracker.set_backends((0..count).map(|i| format!("d{i}")));
    tracker
}

fn ejected(tracker: &HealthTracker) -> Vec<String> {
    tracker.ejected(at(0)).into_iter().collect()
}

fn status(tracker: &HealthTracker, id: &str, now: MonotonicTime) -> HealthStatus {
    tracker.health(now)[id].status
}

fn report(scheduled_unix_ms: u64, failing: bool, changed_unix_ms: u64) -> HealthReport {
    HealthReport {
        scheduled_at: UnixTime::from_millis(scheduled_unix_ms),
        failing,
        contrary_results: 0,
        changed_at: UnixTime::from_millis(changed_unix_ms),
    }
}

#[test]
fn thresholds_count_consecutive_results_across_checking_instances() {
    let mut one = tracker(4);
    let mut other = tracker(4);
    let results = [false, false, true, false, false, false, true, false, true, true];
    let mut failing = Vec::new();
    for (i, passed) in results.into_iter().enumerate() {
        let now = at(i as u64 * 1_000);
        let scheduled_at = UnixTime::from_millis(now.as_millis() + 1);
        // The two instances make the checks in turn, and each receives the reports of the other.
        let (checker, receiver) = if i % 2 == 0 { (&mut one, &mut other) } else { (&mut other, &mut one) };
        let report = checker.record_check("d0", scheduled_at, passed, now).expect("a newer check");
        let received = HealthReport::decode(&report.encode()).expect("a report");
        assert!(receiver.apply_report("d0", received, now));
        failing.push(report.failing);
    }
    assert_eq!(failing, [false, false, false, false, false, true, true, true, true, false]);
}

#[test]
fn an_older_report_never_replaces_a_newer_one() {
    let mut tracker = tracker(4);
    assert!(tracker.apply_report("d0", report(5, true, 5), at(0)));
    assert!(!tracker.apply_report("d0", report(4, false, 4), at(0)));
    assert!(!tracker.apply_report("d0", report(5, false, 5), at(0)));
    assert_eq!(tracker.record_check("d0", UnixTime::from_millis(5), true, at(0)), None);
    assert_eq!(status(&tracker, "d0", at(0)), HealthStatus::Ejected);
    assert!(!tracker.apply_report("unknown", report(9, true, 9), at(0)));
}

#[test]
fn the_longest_failing_backends_are_ejected_up_to_the_maximum_fraction() {
    let mut tracker = tracker(5);
    for i in 0..5 {
        tracker.apply_report(&format!("d{i}"), report(50, true, 40 - i), at(0));
    }
    assert_eq!(ejected(&tracker), ["d3", "d4"]);
    assert_eq!(status(&tracker, "d0", at(0)), HealthStatus::EjectionLimited);
    // An ejected backend recovers, so the backend that has been failing longest among the others is ejected instead.
    tracker.apply_report("d4", report(51, false, 51), at(0));
    assert_eq!(ejected(&tracker), ["d2", "d3"]);
}

#[test]
fn the_status_is_unknown_after_three_periods_without_a_report() {
    let mut tracker = tracker(4);
    tracker.apply_report("d0", report(1, true, 1), at(10_000));
    assert_eq!(status(&tracker, "d0", at(13_000)), HealthStatus::Ejected);
    assert_eq!(status(&tracker, "d0", at(13_001)), HealthStatus::Unknown);
    assert_eq!(status(&tracker, "d1", at(0)), HealthStatus::Unknown);
}

#[test]
fn remaining_backends_keep_their_reports() {
    let mut tracker = tracker(4);
    tracker.apply_report("d0", report(1, true, 1), at(0));
    tracker.set_backends(["d0", "d9"].map(String::from));
    assert_eq!(ejected(&tracker), ["d0"]);
    tracker.set_backends(["d9".to_owned()]);
    tracker.set_backends(["d0", "d9"].map(String::from));
    assert_eq!(status(&tracker, "d0", at(0)), HealthStatus::Unknown, "added again without a report");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(42), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_sequence_of_reports_ejects_more_than_the_fraction(
        reports in prop::collection::vec((0usize..12, 0u64..40, any::<bool>(), 0u64..40), 0..80),
        fraction in 0.0..1.0f64,
    ) {
        let mut tracker = HealthTracker::new(Config { max_ejected_fraction: fraction, ..config() });
        tracker.set_backends((0..10).map(|i| format!("d{i}")));
        let mut newest = BTreeMap::new();
        for (i, scheduled, failing, changed) in reports {
            let id = format!("d{i}");
            let newer = newest.get(&i).is_none_or(|&before| scheduled > before);
            let applied = tracker.apply_report(&id, report(scheduled, failing, changed), at(0));
            prop_assert_eq!(applied, newer && i < 10);
            if applied {
                newest.insert(i, scheduled);
            }
            prop_assert!(tracker.ejected(at(0)).len() as f64 <= 10.0 * fraction);
        }
    }

    #[test]
    fn any_bytes_are_rejected_or_decode_to_a_usable_report(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        if let Some(report) = HealthReport::decode(&bytes) {
            let next = HealthReport::after_check(Some(&report), UnixTime::NEVER, true, &config());
            prop_assert_eq!(next.scheduled_at, UnixTime::NEVER);
        }
    }
}
