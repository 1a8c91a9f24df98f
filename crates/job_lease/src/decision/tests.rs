//! The decision for each relation between the stored lease and the request.

use super::*;

fn stored(run: u64, lease_id: u64) -> StoredLease {
    let record = LeaseRecord { run: RunId(run), holder: "b".into(), lease_id };
    StoredLease { record, modify_index: 40 + run }
}

const REQUEST: AcquireRequest = AcquireRequest { run: RunId(7), lease_id: 3, run_if_key_absent: RunId(8) };

fn decide_on_stored(run: u64, lease_id: u64) -> Decision {
    decide(Some(&stored(run, lease_id)), &REQUEST)
}

#[test]
fn only_the_record_of_an_earlier_run_is_replaced() {
    assert_eq!(decide_on_stored(6, 9), Decision::CompareAndSet { expected_index: 46 });
    assert_eq!(decide_on_stored(7, 9), Decision::Settled);
    assert_eq!(
        decide_on_stored(8, 9),
        Decision::Settled,
        "a later run is stored if this instance's clock is behind or it was paused"
    );
}

#[test]
fn an_instance_recognizes_its_own_lease_but_not_one_from_before_its_restart() {
    assert_eq!(decide_on_stored(7, 3), Decision::AlreadyHeld);
    assert_eq!(decide_on_stored(7, 4), Decision::Settled);
    assert_eq!(decide_on_stored(6, 3), Decision::CompareAndSet { expected_index: 46 });
}

#[test]
fn seeds_an_absent_key_without_acquiring_the_run() {
    assert_eq!(decide(None, &REQUEST), Decision::Seed);
    let seed = LeaseRecord { run: RunId(8), holder: String::new(), lease_id: 0 };
    assert_eq!(REQUEST.seed_record(), seed);
    let request_after_seed = AcquireRequest { run_if_key_absent: RunId(2), ..REQUEST };
    assert_eq!(
        request_after_seed.seed_record().run,
        RunId(7),
        "the seed is never earlier than the requested run"
    );
}
