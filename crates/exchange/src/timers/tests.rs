//! The order of timers and the wake-ups of the timer thread.

use super::*;

const TICK: Micros = 1_000;
const START: Timestamp = Timestamp::from_micros(1_000_000);

#[test]
fn timers_expire_in_order_of_time_and_then_in_the_order_in_which_they_were_set() {
    let mut timers = Timers::new(TICK);
    for (delay, token) in [(20, 1), (10, 2), (20, 3), (30, 4)] {
        timers.set(START + delay, Timer::Policy(token));
    }
    let expired: Vec<Timer> = std::iter::from_fn(|| timers.pop_expired(START + 20)).collect();
    assert_eq!(expired, [2, 1, 3].map(Timer::Policy));
    assert_eq!(timers.next_expiry(), Some(START + 30));
}

#[test]
fn the_timer_thread_sleeps_until_the_first_timer_but_at_least_a_tick() {
    let mut timers = Timers::new(TICK);
    assert_eq!(timers.schedule_wake_up(START), None);
    timers.set(START + 5 * TICK, Timer::Policy(1));
    assert_eq!(timers.schedule_wake_up(START), Some(5 * TICK));
    timers.set(START + TICK / 2, Timer::Policy(2));
    assert_eq!(timers.schedule_wake_up(START), Some(TICK));
}

#[test]
fn a_timer_more_than_a_tick_before_the_scheduled_wake_up_wakes_the_thread_once() {
    let mut timers = Timers::new(TICK);
    assert!(!timers.take_early_wake_up(), "no timer is set");
    timers.set(START + 10 * TICK, Timer::Policy(1));
    timers.schedule_wake_up(START);
    timers.set(START + 9 * TICK, Timer::Policy(2));
    assert!(!timers.take_early_wake_up(), "a timer within a tick of the wake-up waits for it");
    timers.set(START + (9 * TICK - 1), Timer::Policy(3));
    assert!(timers.take_early_wake_up());
    assert!(!timers.take_early_wake_up(), "the thread has already been woken");
}
