//! Tests of the counter's health and of the rate limit of calls, without the state machine.

use super::*;

const MS: Micros = 1_000;

fn settings() -> Settings {
    Settings { gatekeepers: 2, counter_timeout: 50 * MS, ..Settings::default() }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * MS)
}

fn fail(health: &mut CounterHealth, ms: u64) -> Option<Notice> {
    health.record_call_end(&settings(), 50 * MS, Outcome::Timeout, at(ms))
}

#[test]
fn a_counter_is_silent_after_three_failures_and_four_timeouts_and_each_change_is_notified_once() {
    let mut health = CounterHealth::new(&settings(), 1, at(0));
    assert_eq!([50, 100, 150, 200].map(|ms| fail(&mut health, ms)), [None; 4]);
    assert_eq!(fail(&mut health, 201), Some(Notice::CounterSilent));
    assert_eq!((fail(&mut health, 260), health.is_silent()), (None, true));
    let notice = health.record_call_end(&settings(), MS, Outcome::Ok, at(300));
    assert_eq!((notice, health.is_silent()), (Some(Notice::CounterRecovered), false));
    assert!(health.has_recovered_since(at(299)) && !health.has_recovered_since(at(300)));
}

#[test]
fn an_unreadable_answer_does_not_count_as_silence() {
    let mut health = CounterHealth::new(&settings(), 1, at(0));
    for ms in [100, 200, 300, 400, 500] {
        assert_eq!(health.record_call_end(&settings(), MS, Outcome::Error, at(ms)), None);
    }
    assert!(!health.is_silent() && health.last_call_answered());
}

#[test]
fn deferrable_calls_leave_a_token_to_awaited_ones() {
    let mut health = CounterHealth::new(&settings(), 1, at(0));
    let mut rng = fastrand::Rng::with_seed(1);
    let mut take = |urgency| health.take_call_token(urgency, &settings(), &mut rng, at(1_000));
    while take(Urgency::Deferrable) {}
    assert!(take(Urgency::Immediate));
    assert!(!take(Urgency::Immediate));
}

#[test]
fn a_silent_counter_gets_trial_calls_with_pauses_between() {
    let mut health = CounterHealth::new(&settings(), 1, at(0));
    let mut rng = fastrand::Rng::with_seed(1);
    for ms in [60, 120, 180, 240] {
        fail(&mut health, ms);
    }
    assert!(health.is_silent() && health.is_trial_due(at(1_000)));
    assert!(health.take_call_token(Urgency::Immediate, &settings(), &mut rng, at(1_000)));
    assert!(!health.is_trial_due(at(1_249)));
    assert!(!health.take_call_token(Urgency::Immediate, &settings(), &mut rng, at(1_249)));
    assert!(health.is_trial_due(at(1_500)));
}
