//! Tests of hot restart: a successor takes over a snapshot, or its predecessor resumes.

mod common;
use common::*;
use policy::*;

/// Settings of a plan with a ceiling, without a shared counter.
fn settings_with_ceiling() -> Settings {
    let mut settings = Settings { shared_counter: false, ..settings() };
    settings.plans[0].ceiling_rate = 20.0;
    settings.plans[0].ceiling_burst = 40.0;
    settings
}

/// A gatekeeper that has been running for 10 s.
fn running_gatekeeper(settings: Settings) -> Harness {
    let mut harness = Harness::start_at(timestamp(100 * SECOND), settings, &backends(4));
    harness.tick_until(timestamp(110 * SECOND));
    harness
}

/// Moves the state of the predecessor to the successor.
fn hand_over(predecessor: &mut Harness, successor: &mut Harness) {
    successor.policy.take_over(successor.now, predecessor.policy.hand_over());
}

/// The successor has the remaining units of bucket and ceiling. If the predecessor resumes without knowing
/// what the successor admitted, the predecessor has no units.
#[test]
fn a_successor_has_the_remaining_quota_and_reports_what_was_not_reported() {
    let mut predecessor = running_gatekeeper(settings_with_ceiling());
    let admitted = (0..100).take_while(|&id| predecessor.serve(id, 0, 1.0)).count();
    assert!((1..100).contains(&admitted), "{admitted}");
    let mut independent = running_gatekeeper(settings_with_ceiling());
    assert!(independent.serve(0, 0, 1.0), "a gatekeeper without the snapshot has quota");

    let mut successor = running_gatekeeper(settings_with_ceiling());
    hand_over(&mut predecessor, &mut successor);

    assert!(!successor.serve(200, 0, 1.0), "the successor admitted more than the remaining quota");

    // A predecessor that does not know all admissions of its successor must assume that the successor spent
    // the whole quota.
    let mut predecessor = running_gatekeeper(settings_with_ceiling());
    assert!(predecessor.serve(300, 0, 1.0));

    predecessor.policy.resume(false);

    assert!(!predecessor.serve(301, 0, 1.0));
}

/// After the successor dies, the predecessor has the quota that neither of them has spent.
#[test]
fn a_predecessor_that_resumes_has_what_its_successor_left() {
    let mut predecessor = running_gatekeeper(settings_with_ceiling());
    let mut successor = Harness::start_at(timestamp(110 * SECOND), settings_with_ceiling(), &backends(4));
    assert!(predecessor.serve(0, 0, 1.0));
    hand_over(&mut predecessor, &mut successor);
    // For two seconds the successor admits all that the quota allows. The predecessor mirrors each admission.
    for id in 1..40 {
        successor.now += 50 * MS;
        if successor.serve(id, 0, 1.0) {
            predecessor.policy.mirror_admission(successor.now, TENANT, 0, 2.0, 1.0);
        }
    }

    predecessor.now = successor.now;
    predecessor.policy.resume(true);

    assert!(!successor.serve(100, 0, 1.0), "the successor still has quota");
    assert!(!predecessor.serve(101, 0, 1.0), "the predecessor has quota that its successor spent");
    // From here on the bucket refills at 5 units a second, this gatekeeper's share of the rate.
    predecessor.now += 250 * MS;
    assert!(predecessor.serve(102, 0, 1.0), "the bucket did not refill after the predecessor resumed");
    // An unknown plan is ignored.
    predecessor.policy.mirror_admission(predecessor.now, TenantId(9), 7, 2.0, 1.0);
}

#[test]
fn unreported_spend_is_handed_over() {
    let mut predecessor = Harness::start_at(timestamp(100 * SECOND), settings(), &backends(4));
    let call =
        counter_call(&predecessor.feed(request(1, 0, 2.0))).expect("the first request calls the counter");
    let actions = predecessor.feed(counter_reply(call.name, call.units, Outcome::Ok));
    let unused = counter_call(&actions).expect("the units that overflowed the bucket are written off").units;
    predecessor.feed(counter_reply(call.name, call.units + unused + 1.0, Outcome::Ok));
    // The tenant's next call is in flight, so later spend cannot be reported yet.
    let unreported = [4.0, 0.5];
    predecessor.feed(request(2, 0, unreported[0]));
    predecessor.feed(request(3, 0, unreported[1]));
    let unreported_units: f64 = unreported.iter().sum();

    let mut successor = Harness::start_at(timestamp(100 * SECOND), settings(), &backends(4));
    hand_over(&mut predecessor, &mut successor);
    let successor_actions = successor.tick_until(timestamp(100_700 * MS));
    let predecessor_actions = predecessor.tick_until(timestamp(100_700 * MS));

    let reported: f64 = counter_calls(&successor_actions).map(|call| call.units).sum();
    assert!(
        reported > 0.0 && reported <= unreported_units + 1e-6,
        "the successor reported {reported} of {unreported_units} units"
    );
    let repeated = counter_call(&predecessor_actions);
    assert!(
        repeated.is_none_or(|call| call.units.abs() < 1e-6),
        "the predecessor reported the spend as well: {repeated:?}"
    );
}
