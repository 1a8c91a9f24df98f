//! Tests of `SharedBucket` and `CountName` on their own, with simulated answers of the counter.

use super::*;

const BURST: f64 = 20.0;
const RATE: f64 = 10.0;

fn plan() -> Plan {
    Plan { rate: RATE, burst: BURST, ..Plan::default() }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_micros(seconds * 1_000_000)
}

/// Makes a call at `now`, adds its units to `total`, and applies the answer with the new total.
fn sync(bucket: &mut SharedBucket, total: &mut f64, now: Timestamp) {
    let refilled = RATE * now.seconds_since(at(0));
    let call = CounterCall { name: 1, refilled, last_call_answered: true };
    let added = bucket.start_call(&plan(), call, now);
    *total += added;
    assert_eq!(bucket.take_call(), Some(added));
    let answer = CounterAnswer {
        total: CountTotal { name: 1, total: *total },
        added,
        refilled,
        was_counter_silent: false,
        total_drop_threshold: -BURST - 8.0,
        local_shares: BURST,
    };
    bucket.apply_total(&plan(), answer, now);
}

#[test]
fn each_gatekeeper_reads_what_the_other_has_spent() {
    let mut total = 0.0;
    let [mut first, mut second] = [0, 1].map(|_| SharedBucket::full(&plan(), at(0)));
    first.spend(5.0);
    sync(&mut first, &mut total, at(0));
    sync(&mut second, &mut total, at(0));
    assert_eq!((first.level(), second.level()), (15.0, 15.0));
}

#[test]
fn units_are_not_reported_twice_after_a_call_that_may_have_been_added() {
    let mut bucket = SharedBucket::full(&plan(), at(0));
    bucket.spend(5.0);
    let call = CounterCall { name: 1, refilled: 0.0, last_call_answered: true };
    let added = bucket.start_call(&plan(), call, at(0));
    bucket.take_call();
    bucket.call_failed(added, FailedCall::PossiblyAdded);
    assert_eq!(bucket.unreported(), 0.0);
    bucket.spend(3.0);
    let added = bucket.start_call(&plan(), call, at(0));
    bucket.take_call();
    bucket.call_failed(added, FailedCall::NotAdded);
    assert_eq!(bucket.unreported(), 3.0);
}

#[test]
fn a_count_name_depends_on_tenant_rate_and_epoch() {
    let name = |tenant, rate, seconds| CountName::of(TenantId(tenant), rate, at(seconds));
    let first = name(7, RATE, 1_000);
    assert_eq!(name(7, RATE, 1_000), first);
    assert_ne!(name(8, RATE, 1_000).name, first.name);
    assert_ne!(name(7, RATE + 1.0, 1_000).name, first.name);
    assert_ne!(name(7, RATE, 1_030).name, first.name);
    assert_eq!(name(7, RATE, 1_030).epoch_age, first.epoch_age);
}
