//! Snapshots: a successor takes over, and hands back.

#![allow(clippy::too_many_lines, clippy::unwrap_used)]

mod common;
use common::*;
use policy::*;

/// Guards quotas over an upgrade: the one that takes over has what is left of a bucket and of a ceiling, and the spend that the
/// counter has not heard of is told once.
#[test]
fn a_successor_has_the_remaining_quota_and_reports_what_was_not_reported() {
    let mut settings = Settings { shared_counter: false, ..settings() };
    settings.plans[0].ceiling_rate = 20.0;
    settings.plans[0].ceiling_burst = 40.0;
    let started = || {
        let mut harness = Harness::start(settings.clone(), &backends(4), 100 * SECOND);
        harness.tick_until(110 * SECOND);
        harness
    };
    let let_in = |harness: &mut Harness, id| {
        let sent = sends(&harness.request(id, 0, 1.0));
        sent.iter().for_each(|&b| drop(harness.end(id, 0, b, Outcome::Ok)));
        !sent.is_empty()
    };
    let mut giver = started();
    let spent = (0..100).take_while(|&id| let_in(&mut giver, id)).count();
    assert!((1..100).contains(&spent), "{spent}");
    assert!(let_in(&mut started(), 0), "a bucket of its own would let it in");
    let mut taker = started();
    taker.policy.take_over(at(taker.now), giver.policy.hand_over());
    assert!(!let_in(&mut taker, 200), "the bucket is as empty as it was");
    // Given back unheard, nothing may be spent that the other may have spent.
    let mut giver = started();
    assert!(let_in(&mut giver, 300));
    giver.policy.resume(false);
    assert!(!let_in(&mut giver, 301));
}

/// Guards quotas and ceilings over an upgrade whose new program dies: what is left is what neither has spent.
#[test]
fn a_predecessor_that_resumes_has_what_its_successor_left() {
    let mut settings = Settings { shared_counter: false, ..settings() };
    settings.plans[0].ceiling_rate = 20.0;
    settings.plans[0].ceiling_burst = 40.0;
    let mut giver = Harness::start(settings.clone(), &backends(4), 100 * SECOND);
    giver.tick_until(110 * SECOND);
    let mut taker = Harness::start(settings, &backends(4), 110 * SECOND);
    let let_in = |harness: &mut Harness, id| {
        let sent = sends(&harness.request(id, 0, 1.0));
        sent.iter().for_each(|&b| drop(harness.end(id, 0, b, Outcome::Ok)));
        !sent.is_empty()
    };
    assert!(let_in(&mut giver, 0));
    taker.policy.take_over(at(taker.now), giver.policy.hand_over());
    // It lets in all that there is, over two seconds, and each is told before it is sent.
    for id in 1..40 {
        taker.now += 50 * MS;
        if let_in(&mut taker, id) {
            giver.policy.mirror_admission(at(taker.now), TenantId(7), 0, 2.0, 1.0);
        }
    }
    giver.now = taker.now;
    giver.policy.resume(true);
    assert!(!let_in(&mut taker, 100), "nothing is left there");
    assert!(!let_in(&mut giver, 101), "nor here");
    // Simulated fills from here on is there at once: 5 units a second of its part.
    giver.now += 250 * MS;
    assert!(let_in(&mut giver, 102), "it does not begin with empty buckets");
    // A plan that is not known here is passed over.
    giver.policy.mirror_admission(at(giver.now), TenantId(9), 7, 2.0, 1.0);
}

#[test]
fn unreported_spend_is_handed_over() {
    let mut giver = Harness::start(settings(), &backends(4), 100 * SECOND);
    let first = giver.feed(request(1, 0, 2.0));
    let (name, add) = count(&first).expect("the first total is waited for");
    let (_, unused) =
        count(&giver.feed(counted(name, add, Outcome::Ok))).expect("the time before is written off");
    giver.feed(counted(name, add + unused + 1.0, Outcome::Ok));
    // The counter is busy with this tenant's next call, so that later spend has to wait.
    giver.feed(request(2, 0, 4.0));
    giver.feed(request(3, 0, 0.5));
    let out: f64 = [4.0, 0.5].iter().sum();
    let mut taker = Harness::start(settings(), &backends(4), 100 * SECOND);
    taker.policy.take_over(at(taker.now), giver.policy.hand_over());
    let told = taker.tick_until(100_700 * MS);
    let told: f64 = told
        .iter()
        .filter_map(|a| if let Action::CounterAdd { units: add, .. } = a { Some(*add) } else { None })
        .sum();
    assert!(told > 0.0 && told <= out + 1e-6, "{told} of {out}");
    let again = giver.tick_until(100_700 * MS);
    assert!(count(&again).is_none_or(|(_, add)| add.abs() < 1e-6), "{:?} told twice", count(&again));
}
