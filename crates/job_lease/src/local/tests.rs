//! Compare-and-set on leases in memory.

use super::*;
use crate::RunId;

#[test]
fn a_key_is_created_once_and_replaced_only_at_its_index() {
    let mut store = LocalStore::default();
    let record = |run| LeaseRecord { run: RunId(run), holder: "a".into(), lease_id: 1 };
    let applied_at = |outcome, index| matches!(outcome, CompareAndSetOutcome::Applied { modify_index } if modify_index == index);
    assert!(applied_at(store.compare_and_set("d", record(1), 0), 1));
    assert!(matches!(store.compare_and_set("d", record(2), 0), CompareAndSetOutcome::Conflict));
    assert!(applied_at(store.compare_and_set("d", record(2), 1), 2));
    assert!(matches!(store.compare_and_set("d", record(3), 1), CompareAndSetOutcome::Conflict));
    let listing = store.read(&["d".into(), "e".into()]);
    let lease = listing.leases[0].lease.as_ref();
    assert_eq!(lease.map(|lease| (lease.record.run, lease.modify_index)), Some((RunId(2), 2)));
    assert_eq!(listing.leases[1].lease, None);
    store.retain_jobs(|job| job != "d");
    assert_eq!(store.read(&["d".into()]).leases[0].lease, None);
}
