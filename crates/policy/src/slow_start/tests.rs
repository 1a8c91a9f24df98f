//! Slow start alone.

use super::*;

fn settings(gatekeepers: u32) -> Settings {
    Settings {
        gatekeepers,
        slow_start_share: 0.2,
        slow_start_duration: 10_000_000,
        overload_factor: 2.0,
        overload_duration: 1_000_000,
        ..Settings::default()
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_micros(seconds * 1_000_000)
}

#[test]
fn warmth_grows_from_the_share_at_the_start_to_the_whole() {
    let settings = settings(1);
    let warmth_at = |now| warmth(&settings, at(100), now);
    assert_eq!(warmth_at(at(100)), 0.2);
    assert!((warmth_at(at(105)) - 0.6).abs() < 1e-9);
    assert_eq!(warmth_at(at(111)), 1.0);
    assert_eq!(warmth(&settings, Timestamp::ZERO, at(100)), 1.0, "started long ago");
}

#[test]
fn all_gatekeepers_together_stay_below_what_overloads_the_backend() {
    for gatekeepers in [1, 4, 30, 300] {
        let settings = settings(gatekeepers);
        let warm_rate = 10.0 / f64::from(gatekeepers);
        let share = SenderShare { subset_part: 1.0, warm_rate };
        let together = token_rate(&settings, 0.5, share) * f64::from(gatekeepers);
        // At half its warmth the backend is overloaded by twice half of the 10 a second that it does when warm.
        assert!((2.0..10.0).contains(&together), "{gatekeepers}: {together}");
    }
}

#[test]
fn tokens_are_saved_up_to_two() {
    let mut slow_start = SlowStart::new(0.5, None);
    assert!(!slow_start.has_token());
    slow_start.earn(9.0);
    (0..2).for_each(|_| {
        assert!(slow_start.has_token());
        slow_start.spend_token();
    });
    assert!(!slow_start.has_token());
}

#[test]
fn a_readmitted_backend_keeps_its_notified_start_and_a_restarted_one_its_readmission() {
    let readmitted = SlowStart::new(0.0, Some(at(5))).readmitted(0.3, at(9));
    assert_eq!((readmitted.notified_start(), readmitted.readmitted_at()), (Some(at(5)), at(9)));
    let restarted = readmitted.restarted(SlowStart::new(0.7, None));
    assert_eq!((restarted.notified_start(), restarted.readmitted_at()), (None, at(9)));
}
