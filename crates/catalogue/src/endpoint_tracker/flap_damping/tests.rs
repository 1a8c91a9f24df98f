//! Suppression times after repeated flaps, and decay of the flap count.

use super::*;

fn at_seconds(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1_000)
}

/// Returns the state of an endpoint that flapped `flaps` times at second 0 and has recovered.
fn recovered_after(flaps: u32) -> FlapDamping {
    let config = StabilityConfig::default();
    let mut damping = FlapDamping::new(at_seconds(0), Some(at_seconds(0)));
    for _ in 0..flaps {
        damping.update_health(at_seconds(0), false);
        damping.count_flap(at_seconds(0), &config);
        damping.update_health(at_seconds(0), true);
    }
    damping
}

#[test]
fn suppression_starts_with_the_second_flap_and_doubles_up_to_its_bound() {
    let config = StabilityConfig::default();
    for (flaps, seconds) in [(0, 0), (1, 0), (2, 2), (3, 4), (4, 8), (7, 60), (1_000, 60)] {
        let damping = recovered_after(flaps);
        assert_eq!(damping.suppressed_until(at_seconds(0), &config), at_seconds(seconds), "{flaps} flaps");
        assert_eq!(damping.has_repeated_flaps(), flaps > 1, "{flaps} flaps");
    }
}

#[test]
fn a_recovery_after_one_half_life_without_flaps_is_not_suppressed() {
    let config = StabilityConfig::default();
    let mut damping = recovered_after(2);
    damping.update_health(at_seconds(60), false);
    damping.update_health(at_seconds(61), true);
    assert_eq!(damping.suppressed_until(at_seconds(61), &config), at_seconds(61));
}
