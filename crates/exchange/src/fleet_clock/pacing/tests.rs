//! The ranges from which delays are drawn.

use super::*;

const DRAWS: usize = 10_000;

/// The minimum and the maximum of many drawn delays.
fn range_of(gatekeepers: u32, delay: CallDelay) -> (Micros, Micros) {
    let mut pacing = Pacing::new(gatekeepers, 1);
    let draws: Vec<Micros> = (0..DRAWS).map(|_| pacing.draw_delay(delay)).collect();
    (*draws.iter().min().expect("at least one draw"), *draws.iter().max().expect("at least one draw"))
}

#[track_caller]
fn assert_spans(gatekeepers: u32, delay: CallDelay, from: Micros, to: Micros) {
    let (min, max) = range_of(gatekeepers, delay);
    let hundredth = (to - from) / 100;
    assert!(
        min >= from && min <= from + hundredth,
        "{delay:?} with {gatekeepers} gatekeepers: minimum {min} us"
    );
    assert!(max <= to && max >= to - hundredth, "{delay:?} with {gatekeepers} gatekeepers: maximum {max} us");
}

#[test]
fn delays_of_a_small_fleet_span_their_intervals() {
    assert_spans(4, CallDelay::None, 0, 0);
    assert_spans(4, CallDelay::Advance, 1_000_000, 1_000_000);
    assert_spans(4, CallDelay::FollowerRead, 10_400_000, 31_200_000);
    assert_spans(4, CallDelay::Confirmation, 1_200_000, 1_600_000);
    assert_spans(4, CallDelay::Vacancy, 0, 1_000_000);
    assert_spans(4, CallDelay::Backoff, 500_000, 1_000_000);
}

#[test]
fn jitter_and_read_interval_grow_with_the_fleet() {
    assert_spans(300, CallDelay::Advance, 1_000_000, 1_000_000);
    assert_spans(300, CallDelay::FollowerRead, 40_000_000, 120_000_000);
    assert_spans(300, CallDelay::Confirmation, 1_200_000, 4_000_000);
    assert_spans(300, CallDelay::Vacancy, 0, 7_000_000);
    assert_spans(300, CallDelay::Backoff, 500_000, 4_000_000);
}
