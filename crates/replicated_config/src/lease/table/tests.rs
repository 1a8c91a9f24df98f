use super::*;

const LEASE_DURATION: Duration = Duration::from_secs(3);

/// Returns the time this many milliseconds after the start of the clock.
fn at_ms(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn a_version_is_activated_only_once_every_lease_holder_knows_it() {
    let mut table = LeaseTable::new(at_ms(0), LEASE_DURATION);
    assert!(table.grant(at_ms(3_500), "a", RequestId(1), ConfigVersion(1)));
    assert!(table.grant(at_ms(4_000), "b", RequestId(1), ConfigVersion(1)));
    assert!(table.grant(at_ms(4_100), "a", RequestId(2), ConfigVersion(2)));
    assert!(!table.may_activate(at_ms(4_200), ConfigVersion(2)));
    assert_eq!(table.holders_without_version(at_ms(4_200), ConfigVersion(2)).collect::<Vec<_>>(), ["b"]);
    assert!(table.grant(at_ms(4_300), "b", RequestId(2), ConfigVersion(2)));
    assert!(table.may_activate(at_ms(4_300), ConfigVersion(2)));
    // An outdated request does not change the known version of its holder.
    assert!(
        !table.grant(at_ms(4_350), "b", RequestId(1), ConfigVersion(1))
            && table.may_activate(at_ms(4_350), ConfigVersion(2))
    );
    // A holder that sends no further request delays the activation by one lease duration.
    assert!(table.grant(at_ms(4_400), "c", RequestId(1), ConfigVersion(1)));
    assert!(
        !table.may_activate(at_ms(7_399), ConfigVersion(2))
            && table.may_activate(at_ms(7_400), ConfigVersion(2))
    );
}

#[test]
fn a_new_leader_waits_until_leases_of_earlier_leaders_have_expired() {
    let table = LeaseTable::new(at_ms(1_000), LEASE_DURATION);
    assert!(
        !table.may_activate(at_ms(3_999), ConfigVersion(2))
            && table.may_activate(at_ms(4_000), ConfigVersion(2))
    );
}

#[test]
fn a_full_table_grants_no_lease_to_another_holder() {
    let mut table = LeaseTable::new(at_ms(0), LEASE_DURATION);
    assert!((0..MAX_LEASE_HOLDERS).all(|i| table.grant(
        at_ms(0),
        &i.to_string(),
        RequestId(1),
        ConfigVersion(1)
    )));
    assert!(!table.grant(at_ms(2_999), "one more", RequestId(1), ConfigVersion(1)));
    assert!(
        table.grant(at_ms(3_000), "one more", RequestId(1), ConfigVersion(1)),
        "the other leases have expired"
    );
}
