//! Tests of check-and-set, sessions and transactions.

use super::transaction::OperationError;
use super::*;
use rand::SeedableRng;

fn seeded_store(index: u64) -> Store {
    Store::with_random(index, StdRng::seed_from_u64(1))
}

fn options(name: &str, ttl_ms: Option<u64>, lock_delay_ms: u64, keys_at_end: KeysAtEnd) -> SessionOptions {
    SessionOptions { name: name.to_owned(), ttl_ms, lock_delay_ms, keys_at_end }
}

fn operation(key: &str, operation: Operation) -> KeyOperation {
    KeyOperation { key: key.to_owned(), operation }
}

#[test]
fn check_and_set_writes_only_with_the_current_index() {
    let mut store = seeded_store(10);
    assert!(store.cas("k", b"a".to_vec(), 0, 0));
    assert!(!store.cas("k", b"b".to_vec(), 0, 0), "the key exists");
    let index = store.keys["k"].modify_index;
    assert!(store.cas("k", b"b".to_vec(), 7, index));
    assert!(!store.cas("k", b"c".to_vec(), 0, index));
    let entry = &store.keys["k"];
    assert_eq!((entry.create_index, entry.modify_index, entry.flags), (11, 12, 7));
}

#[test]
fn a_session_that_ends_releases_or_deletes_its_keys_and_delays_their_next_lock() {
    let mut store = seeded_store(1);
    let releasing = store.create_session(0, options("a", Some(100), 50, KeysAtEnd::Release));
    let deleting = store.create_session(0, options("b", Some(100), 0, KeysAtEnd::Delete));
    let other = store.create_session(0, options("c", None, 0, KeysAtEnd::Release));
    assert_eq!(store.acquire(0, "k", vec![], 0, &releasing), Ok(true));
    assert_eq!(store.acquire(0, "d", vec![], 0, &deleting), Ok(true));
    assert_eq!(store.acquire(0, "k", vec![], 0, &other), Ok(false));
    assert!(store.renew_session(60, &releasing).is_some());
    store.expire_sessions(100);
    assert!(!store.sessions.contains_key(&deleting) && !store.keys.contains_key("d"));
    store.expire_sessions(160);
    assert_eq!(store.keys["k"].session, None);
    assert_eq!(store.acquire(180, "k", vec![], 0, &other), Ok(false), "the lock delay is not over");
    assert_eq!(store.acquire(211, "k", vec![], 0, &other), Ok(true));
    assert_eq!(store.acquire(211, "k", vec![], 0, &releasing), Err(InvalidSession));
    assert!(store.renew_session(211, &releasing).is_none());
}

#[test]
fn a_transaction_is_applied_as_a_whole_or_not_at_all() {
    let mut store = seeded_store(1);
    let holder = store.create_session(0, options("a", None, 0, KeysAtEnd::Delete));
    store.acquire(0, "holder", vec![], 0, &holder).expect("the session exists");
    let cas = |index| operation("d", Operation::Cas { value: b"1".to_vec(), flags: 0, index });
    let check = operation("holder", Operation::CheckSession(holder.clone()));
    let done =
        store.transact(0, vec![check.clone(), cas(0)]).expect("the lock is held and the key does not exist");
    assert_eq!(done[1].entry.modify_index, store.index);
    let before = store.keys.clone();
    let stale = FailedOperation { position: 1, error: OperationError::StaleIndex("d".to_owned()) };
    assert_eq!(store.transact(0, vec![check.clone(), cas(0)]).expect_err("the index is stale")[0], stale);
    let set = operation("e", Operation::Set { value: vec![], flags: 0 });
    assert_eq!(store.transact(0, vec![set, cas(0)]).expect_err("the index is stale")[0], stale);
    assert_eq!(store.keys, before, "nothing is applied");
    store.destroy_session(0, &holder);
    let index = store.keys["d"].modify_index;
    let lost = FailedOperation { position: 0, error: OperationError::SessionCheck("holder".to_owned()) };
    assert_eq!(store.transact(0, vec![check, cas(index)]).expect_err("the session has ended")[0], lost);
}
