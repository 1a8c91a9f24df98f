//! Check-and-set, sessions and transactions.

use super::*;

fn session(name: &str, ttl_ms: Option<u64>, lock_delay_ms: u64, deletes_keys: bool) -> SessionOptions {
    SessionOptions { name: name.to_owned(), ttl_ms, lock_delay_ms, deletes_keys }
}

fn operation(key: &str, operation: Operation) -> KeyOperation {
    KeyOperation { key: key.to_owned(), operation }
}

#[test]
fn check_and_set_and_the_index() {
    let mut store = Store::seeded(10, 1);
    assert!(store.cas("k", b"a".to_vec(), 0, 0));
    assert!(!store.cas("k", b"b".to_vec(), 0, 0), "it exists");
    let at = store.keys["k"].modify_index;
    assert!(store.cas("k", b"b".to_vec(), 7, at));
    assert!(!store.cas("k", b"c".to_vec(), 0, at));
    let entry = &store.keys["k"];
    assert_eq!((entry.create_index, entry.modify_index, entry.flags), (11, 12, 7));
}

#[test]
fn a_session_that_ends_gives_up_its_keys_and_delays_their_next_lock() {
    let mut store = Store::seeded(1, 1);
    let keeps = store.create_session(0, session("a", Some(100), 50, false));
    let deletes = store.create_session(0, session("b", Some(100), 0, true));
    let other = store.create_session(0, session("c", None, 0, false));
    assert_eq!(store.acquire(0, "k", vec![], 0, &keeps), Some(true));
    assert_eq!(store.acquire(0, "d", vec![], 0, &deletes), Some(true));
    assert_eq!(store.acquire(0, "k", vec![], 0, &other), Some(false));
    assert!(store.renew_session(60, &keeps));
    store.expire(100);
    assert!(!store.sessions.contains_key(&deletes) && !store.keys.contains_key("d"));
    store.expire(160);
    assert_eq!(store.keys["k"].session, None);
    assert_eq!(store.acquire(180, "k", vec![], 0, &other), Some(false), "the lock delay");
    assert_eq!(store.acquire(211, "k", vec![], 0, &other), Some(true));
    assert_eq!(store.acquire(211, "k", vec![], 0, &keeps), None);
    assert!(!store.renew_session(211, &keeps));
}

#[test]
fn a_transaction_is_applied_as_a_whole_or_not_at_all() {
    let mut store = Store::seeded(1, 1);
    let holder = store.create_session(0, session("a", None, 0, true));
    store.acquire(0, "holder", vec![], 0, &holder).expect("a session");
    let cas = |index| operation("d", Operation::Cas { value: b"1".to_vec(), flags: 0, index });
    let check = operation("holder", Operation::CheckSession(holder.clone()));
    let done = store.transact(0, vec![check.clone(), cas(0)]).expect("both match");
    assert_eq!(done[1].entry.modify_index, store.index);
    let before = store.keys.clone();
    let stale = (1, OperationError::StaleIndex("d".to_owned()));
    assert_eq!(store.transact(0, vec![check.clone(), cas(0)]).expect_err("stale")[0], stale);
    let set = operation("e", Operation::Set { value: vec![], flags: 0 });
    assert_eq!(store.transact(0, vec![set, cas(0)]).expect_err("stale")[0], stale);
    assert_eq!(store.keys, before, "nothing of it stays");
    store.destroy_session(0, &holder);
    let index = store.keys["d"].modify_index;
    let lost = (0, OperationError::SessionCheck("holder".to_owned()));
    assert_eq!(store.transact(0, vec![check, cas(index)]).expect_err("gone")[0], lost);
}
