//! Tests of `ConcurrencyLimit` and `Capacity` without the state machine.

use super::*;

const SECOND: u64 = 1_000_000;
const TEN_BACKENDS: usize = 10;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn demand(in_flight: f64, relative_weight: f64) -> Demand {
    Demand { in_flight, relative_weight, mean_latency: 100_000.0 }
}

/// The limit and capacity of a single gatekeeper with ten backends.
fn fitted() -> (ConcurrencyLimit, Capacity) {
    let capacity = Capacity::of(1, TEN_BACKENDS);
    let mut limit = ConcurrencyLimit::new();
    limit.fit_to(capacity);
    (limit, capacity)
}

#[test]
fn capacity_is_shared_evenly_with_a_margin_if_a_share_is_below_one_attempt() {
    let alone = Capacity::of(1, TEN_BACKENDS);
    assert_eq!((alone.even_share, alone.upper_bound), (80.0, 80.0));
    let among_many = Capacity::of(80, TEN_BACKENDS);
    assert_eq!(among_many.even_share, 1.0);
    assert!(among_many.upper_bound > 3.0);
}

#[test]
fn low_weight_leaves_half_of_the_capacity_to_high_weight() {
    let (limit, _) = fitted();
    assert!(limit.admits(demand(40.0, 0.0), at(SECOND)));
    assert!(!limit.admits(demand(41.0, 0.0), at(SECOND)));
    assert!(limit.admits(demand(79.0, 1.0), at(SECOND)));
    assert!(!limit.admits(demand(80.0, 1.0), at(SECOND)));
}

#[test]
fn late_answers_shrink_the_limit_once_per_round_and_early_answers_let_it_grow() {
    let (mut limit, capacity) = fitted();
    for _ in 0..50 {
        limit.record_latency(1.0, at(0), capacity, at(SECOND));
    }
    assert!(limit.admits(demand(63.0, 1.0), at(SECOND)) && !limit.admits(demand(64.0, 1.0), at(SECOND)));
    for step in 0..200 {
        limit.record_latency(0.01, at(0), capacity, at(2 * SECOND + step * SECOND));
    }
    assert!(limit.is_early() && limit.lateness() == 0.0);
    assert!(limit.admits(demand(65.0, 1.0), at(300 * SECOND)));
}

#[test]
fn a_limit_below_one_attempt_spaces_attempts_out() {
    let mut limit = ConcurrencyLimit::new();
    limit.fit_to(Capacity { even_share: 0.5, upper_bound: 0.5 });
    limit.record_send(at(SECOND));
    assert!(!limit.admits(demand(0.0, 1.0), at(SECOND + 199_999)));
    assert!(limit.admits(demand(0.0, 1.0), at(SECOND + 200_000)));
    limit.forget_last_send();
    assert!(limit.admits(demand(0.0, 1.0), at(SECOND + 1)));
}
