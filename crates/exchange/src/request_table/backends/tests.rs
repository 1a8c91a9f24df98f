//! Readiness of services, and removal of backends.

use super::*;

fn entry(id: u32, service: u16, state: BackendState) -> BackendEntry {
    BackendEntry { id: BackendId(id), service, state, ..BackendEntry::default() }
}

#[test]
fn a_service_is_ready_while_one_of_its_own_backends_is_ready() {
    let mut backends = KnownBackends::default();
    let entries = [entry(1, 0, BackendState::Ready), entry(2, 1, BackendState::Draining)];
    backends.apply_list_update(ListKind::Full, &entries);
    assert!(backends.has_ready_backend(0));
    assert!(!backends.has_ready_backend(1));
    backends.apply_list_update(ListKind::Delta, &[entry(2, 1, BackendState::Ready)]);
    assert!(backends.has_ready_backend(0) && backends.has_ready_backend(1));
}

#[test]
fn a_removed_backend_stays_until_an_update_after_its_last_attempt() {
    let mut backends = KnownBackends::default();
    backends.apply_list_update(ListKind::Full, &[entry(1, 0, BackendState::Ready)]);
    backends.attempt_started(BackendId(1));
    backends.apply_list_update(ListKind::Full, &[]);
    let status = BackendStatus { state: BackendState::Gone, in_flight: 1 };
    assert_eq!(backends.statuses().get(&BackendId(1)), Some(&status));
    assert!(!backends.has_ready_backend(0));
    backends.attempt_ended(BackendId(1));
    backends.apply_list_update(ListKind::Full, &[]);
    assert!(backends.statuses().is_empty());
}
