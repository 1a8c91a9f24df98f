use super::*;

const LEASE_DURATION_MS: u64 = 3_000;

#[test]
fn a_version_waits_for_all_leases_on_the_one_before() {
    let mut table = LeaseTable::new(0, LEASE_DURATION_MS);
    assert!(table.grant(3_500, "a", RequestId(1), ConfigVersion(1)));
    assert!(table.grant(4_000, "b", RequestId(1), ConfigVersion(1)));
    assert!(table.grant(4_100, "a", RequestId(2), ConfigVersion(2)));
    assert!(!table.may_activate(4_200, ConfigVersion(2)));
    assert_eq!(table.holders_behind(4_200, ConfigVersion(2)).collect::<Vec<_>>(), ["b"]);
    assert!(table.grant(4_300, "b", RequestId(2), ConfigVersion(2)));
    assert!(table.may_activate(4_300, ConfigVersion(2)));
    // A request that was overtaken says nothing of what its holder knows.
    assert!(
        !table.grant(4_350, "b", RequestId(1), ConfigVersion(1))
            && table.may_activate(4_350, ConfigVersion(2))
    );
    // A holder that is never heard of again delays the version for one lease duration.
    assert!(table.grant(4_400, "c", RequestId(1), ConfigVersion(1)));
    assert!(!table.may_activate(7_399, ConfigVersion(2)) && table.may_activate(7_400, ConfigVersion(2)));
}

#[test]
fn a_new_leader_waits_for_leases_that_another_granted() {
    let table = LeaseTable::new(1_000, LEASE_DURATION_MS);
    assert!(!table.may_activate(3_999, ConfigVersion(2)) && table.may_activate(4_000, ConfigVersion(2)));
}

#[test]
fn remembered_holders_are_bounded_and_one_too_many_gets_no_lease() {
    let mut table = LeaseTable::new(0, LEASE_DURATION_MS);
    assert!((0..MAX_LEASE_HOLDERS).all(|i| table.grant(0, &i.to_string(), RequestId(1), ConfigVersion(1))));
    assert!(!table.grant(2_999, "one more", RequestId(1), ConfigVersion(1)));
    assert!(table.grant(3_000, "one more", RequestId(1), ConfigVersion(1)), "the others' have expired");
}
