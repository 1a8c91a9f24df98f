//! Tests of slow start without a state machine.

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
fn warm_fraction_grows_from_the_initial_share_to_one() {
    let settings = settings(1);
    let warm_fraction_at = |now| warm_fraction(&settings, at(100), now);
    assert_eq!(warm_fraction_at(at(100)), 0.2);
    assert!((warm_fraction_at(at(105)) - 0.6).abs() < 1e-9);
    assert_eq!(warm_fraction_at(at(111)), 1.0);
    assert_eq!(warm_fraction(&settings, Timestamp::ZERO, at(100)), 1.0, "started long ago");
}

#[test]
fn the_token_rates_of_all_gatekeepers_together_do_not_overload_the_backend() {
    for gatekeepers in [1, 4, 30, 300] {
        let settings = settings(gatekeepers);
        let warm_rate = 10.0 / f64::from(gatekeepers);
        let share = SenderShare { subset_fraction: 1.0, warm_rate };
        let total_rate = token_rate(&settings, 0.5, share) * f64::from(gatekeepers);
        // The warm backend serves 10 requests a second. At half its capacity, that rate overloads it.
        assert!(
            (2.0..10.0).contains(&total_rate),
            "{gatekeepers} gatekeepers add {total_rate} tokens a second"
        );
    }
}

#[test]
fn at_most_two_tokens_accumulate() {
    let mut slow_start = SlowStart::new(0.5, None);
    assert!(!slow_start.has_token());
    slow_start.earn_tokens(9.0);
    (0..2).for_each(|_| {
        assert!(slow_start.has_token());
        slow_start.spend_token();
    });
    assert!(!slow_start.has_token());
}

#[test]
fn readmission_keeps_the_notified_start_and_a_restart_keeps_the_readmission_time() {
    let readmitted = SlowStart::new(0.0, Some(at(5))).readmitted(0.3, at(9));
    assert_eq!((readmitted.notified_start(), readmitted.readmitted_at()), (Some(at(5)), at(9)));
    let restarted = readmitted.restarted(SlowStart::new(0.7, None));
    assert_eq!((restarted.notified_start(), restarted.readmitted_at()), (None, at(9)));
}
