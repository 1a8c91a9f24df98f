//! Tests of `TenantQuota` on its own, without the state machine.

use super::*;
use crate::settings::RequestClass;

const SECOND: u64 = 1_000_000;

fn settings() -> Settings {
    let plan = Plan { rate: 10.0, burst: 20.0, ceiling_rate: 12.0, ceiling_burst: 24.0, ..Plan::default() };
    Settings {
        classes: vec![RequestClass::default()],
        plans: vec![plan],
        max_cost: 2.0,
        ..Settings::default()
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_micros(seconds * SECOND)
}

fn price(cost: f64) -> Price {
    Price { cost, charged_cost: cost, reserved: 0.0 }
}

#[test]
fn without_a_counter_the_local_share_decides() {
    let settings = settings();
    let mut quota = TenantQuota::new(&settings, 0, 2.0, 100.0, at(100));
    let headroom = quota.headroom(price(1.0), CounterState::Unavailable, &settings, at(100));
    assert_eq!((headroom.units, headroom.is_uncertain()), (4.0, false), "half of the rate, minus the price");
    quota.charge(price(5.0), true, at(100));
    assert!(quota.exceeds_local_share(price(1.0)));
    quota.refill(&settings, 2.0, at(101));
    assert!(!quota.exceeds_local_share(price(1.0)));
    assert_eq!(quota.shared.unreported(), 0.0, "spend from the local share is not reported");
}

#[test]
fn the_ceiling_is_never_refunded_and_refills_by_this_gatekeepers_share() {
    let settings = settings();
    let mut quota = TenantQuota::new(&settings, 0, 2.0, 100.0, at(100));
    quota.charge(price(12.0), false, at(100));
    assert!(quota.exceeds_ceiling(0.1));
    quota.charge_difference(-6.0);
    assert!(quota.exceeds_ceiling(0.1));
    assert_eq!(quota.seconds_until_ceiling_covers(6.0, &settings.plans[0]), 0.5);
    quota.refill(&settings, 2.0, at(101));
    assert!(!quota.exceeds_ceiling(6.0) && quota.exceeds_ceiling(6.1));
}

#[test]
fn a_restart_does_not_refill_the_ceiling() {
    let settings = settings();
    assert!(TenantQuota::new(&settings, 0, 1.0, 0.0, at(100)).exceeds_ceiling(0.1));
    assert!(!TenantQuota::new(&settings, 0, 1.0, 1.0, at(100)).exceeds_ceiling(12.0));
}

#[test]
fn a_reservation_takes_headroom_until_it_is_released() {
    let settings = settings();
    let mut quota = TenantQuota::new(&settings, 0, 2.0, 100.0, at(100));
    let units =
        |quota: &TenantQuota| quota.headroom(price(0.0), CounterState::Unavailable, &settings, at(100)).units;
    let before = units(&quota);
    quota.charge(Price { cost: 1.0, charged_cost: 1.0, reserved: 2.0 }, true, at(100));
    assert_eq!(units(&quota), before - 3.0);
    quota.release_reservation(2.0);
    assert_eq!(units(&quota), before - 1.0);
}

#[test]
fn a_quota_without_attempts_or_calls_becomes_idle() {
    let settings = settings();
    let mut quota = TenantQuota::new(&settings, 0, 2.0, 100.0, at(100));
    assert!(!quota.is_idle_for(10 * SECOND, at(109)) && quota.is_idle_for(10 * SECOND, at(110)));
    quota.in_flight.record_send();
    assert!(!quota.is_idle_for(10 * SECOND, at(110)));
}
