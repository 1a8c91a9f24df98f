//! The KV store and its sessions, without I/O: time is given in milliseconds.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// A key's entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// The flags that its writer gave.
    pub flags: u64,
    /// The index at which it was made.
    pub create_index: u64,
    /// The index of its last change.
    pub modify_index: u64,
    /// How often it was locked.
    pub lock_index: u64,
    /// The session that holds it.
    pub session: Option<String>,
}

/// A session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// Its name.
    pub name: String,
    /// Milliseconds without renewal after which it ends; `None` for never.
    pub ttl: Option<u64>,
    /// Milliseconds for which a key that it held at its end cannot be locked.
    pub lock_delay: u64,
    /// Whether keys that it holds at its end go with it; else they are released.
    pub deletes: bool,
    /// The index at which it was made.
    pub create_index: u64,
    ends: Option<u64>,
}

/// An operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Writes where the index is this one; 0 stands for no key.
    Cas(Vec<u8>, u64, u64),
    /// Writes.
    Set(Vec<u8>, u64),
    /// Reads; a missing key fails.
    Get,
    /// Fails where the key is not held by this session.
    CheckSession(String),
    /// Fails where the key's index is not this one.
    CheckIndex(u64),
    /// Deletes.
    Delete,
    /// Locks, with a value.
    Lock(Vec<u8>, u64, String),
}

/// The store.
#[derive(Debug)]
pub struct Store {
    /// By key.
    pub keys: BTreeMap<String, Entry>,
    /// By id.
    pub sessions: BTreeMap<String, Session>,
    /// Until when a key cannot be locked.
    delays: BTreeMap<String, u64>,
    /// The last index.
    pub index: u64,
    /// Consul itself lets no TTL be shorter than 10 s; tests may.
    pub least_ttl: u64,
    ids: StdRng,
}

impl Default for Store {
    fn default() -> Self {
        Self::new(1)
    }
}

impl Store {
    /// An empty one whose indexes go on from here.
    pub fn new(index: u64) -> Self {
        Self {
            keys: BTreeMap::new(),
            sessions: BTreeMap::new(),
            delays: BTreeMap::new(),
            index,
            least_ttl: 10_000,
            // Ids must differ between the lives of a store, or a session from before would be taken for one of now.
            ids: rand::make_rng(),
        }
    }

    /// As [`Store::new`], with ids from a seed.
    pub fn seeded(index: u64, seed: u64) -> Self {
        Self { ids: StdRng::seed_from_u64(seed), ..Self::new(index) }
    }

    fn next(&mut self) -> u64 {
        self.index += 1;
        self.index
    }

    /// Ends the sessions whose time is over.
    pub fn expire(&mut self, now: u64) {
        let over: Vec<String> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.ends.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            self.destroy(now, &id);
        }
    }

    /// Makes a session and brings its id.
    pub fn create(
        &mut self,
        now: u64,
        name: &str,
        ttl: Option<u64>,
        lock_delay: u64,
        deletes: bool,
    ) -> String {
        let index = self.next();
        let bits: u128 = self.ids.random();
        let hex = format!("{bits:032x}");
        let id = [&hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..]].join("-");
        let ends = ttl.map(|ttl| now + ttl);
        let name = name.to_owned();
        self.sessions
            .insert(id.clone(), Session { name, ttl, lock_delay, deletes, create_index: index, ends });
        id
    }

    /// Renews a session; `false` where there is none.
    pub fn renew(&mut self, now: u64, id: &str) -> bool {
        let Some(session) = self.sessions.get_mut(id) else { return false };
        session.ends = session.ttl.map(|ttl| now + ttl);
        true
    }

    /// Ends a session: what it holds is released or deleted, and cannot be locked for its lock delay.
    pub fn destroy(&mut self, now: u64, id: &str) {
        let Some(session) = self.sessions.remove(id) else { return };
        let held: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, e)| e.session.as_deref() == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for key in held {
            let index = self.next();
            if session.lock_delay > 0 {
                self.delays.insert(key.clone(), now + session.lock_delay);
            }
            if session.deletes {
                self.keys.remove(&key);
            } else if let Some(entry) = self.keys.get_mut(&key) {
                entry.session = None;
                entry.modify_index = index;
            }
        }
    }

    fn write(&mut self, key: &str, value: Vec<u8>, flags: u64) {
        let index = self.next();
        let entry = self
            .keys
            .entry(key.to_owned())
            .or_insert_with(|| Entry { create_index: index, ..Entry::default() });
        (entry.value, entry.flags, entry.modify_index) = (value, flags, index);
    }

    /// Writes.
    pub fn set(&mut self, key: &str, value: Vec<u8>, flags: u64) -> bool {
        self.write(key, value, flags);
        true
    }

    /// Writes where the index is this one; 0 stands for no key.
    pub fn cas(&mut self, key: &str, value: Vec<u8>, flags: u64, index: u64) -> bool {
        let fits = self.keys.get(key).map_or(0, |e| e.modify_index) == index;
        if fits {
            self.write(key, value, flags);
        }
        fits
    }

    /// Locks a key for a session; `None` where there is no such session.
    pub fn acquire(
        &mut self,
        now: u64,
        key: &str,
        value: Vec<u8>,
        flags: u64,
        session: &str,
    ) -> Option<bool> {
        if !self.sessions.contains_key(session) {
            return None;
        }
        let holder = self.keys.get(key).and_then(|e| e.session.clone());
        let delayed = self.delays.get(key).is_some_and(|&until| until > now);
        if holder.as_deref().is_some_and(|h| h != session) || (holder.is_none() && delayed) {
            return Some(false);
        }
        self.write(key, value, flags);
        if let Some(entry) = self.keys.get_mut(key) {
            entry.lock_index += u64::from(holder.is_none());
            entry.session = Some(session.to_owned());
        }
        Some(true)
    }

    /// Unlocks a key that this session holds.
    pub fn release(&mut self, key: &str, value: Vec<u8>, flags: u64, session: &str) -> bool {
        let held = self.keys.get(key).is_some_and(|e| e.session.as_deref() == Some(session));
        if held {
            self.write(key, value, flags);
            if let Some(entry) = self.keys.get_mut(key) {
                entry.session = None;
            }
        }
        held
    }

    /// Deletes a key, or all that begin with it.
    pub fn delete(&mut self, key: &str, recurse: bool) {
        let before = self.keys.len();
        self.keys.retain(|k, _| if recurse { !k.starts_with(key) } else { k != key });
        if self.keys.len() != before {
            self.next();
        }
    }

    /// Carries out all operations or none.
    ///
    /// # Errors
    ///
    /// The numbers of those that fail, each with why.
    #[allow(clippy::type_complexity)]
    pub fn transact(
        &mut self,
        now: u64,
        operations: Vec<(String, Operation)>,
    ) -> Result<Vec<(String, Entry)>, Vec<(usize, String)>> {
        let before = (self.keys.clone(), self.delays.clone());
        let (mut results, mut errors) = (Vec::new(), Vec::new());
        // All changes of a transaction share one index.
        let index = self.index + 1;
        let after = &mut *self;
        for (i, (key, operation)) in operations.into_iter().enumerate() {
            after.index = index - 1;
            let there = after.keys.get(&key).cloned();
            let done: Result<(), String> = match operation {
                Operation::Cas(value, flags, at) => after
                    .cas(&key, value, flags, at)
                    .then_some(())
                    .ok_or_else(|| format!("failed to set key {key:?}, index is stale")),
                Operation::Set(value, flags) => {
                    after.set(&key, value, flags);
                    Ok(())
                }
                Operation::Get => {
                    there.is_some().then_some(()).ok_or_else(|| format!("key {key:?} doesn't exist"))
                }
                Operation::CheckSession(session) => {
                    let holds = there.as_ref().is_some_and(|e| e.session.as_deref() == Some(&session));
                    holds.then_some(()).ok_or_else(|| format!("failed session check for key {key:?}"))
                }
                Operation::CheckIndex(at) => {
                    let fits = there.as_ref().is_some_and(|e| e.modify_index == at);
                    fits.then_some(()).ok_or_else(|| format!("failed index check for key {key:?}"))
                }
                Operation::Delete => {
                    after.delete(&key, false);
                    Ok(())
                }
                Operation::Lock(value, flags, session) => {
                    match after.acquire(now, &key, value, flags, &session) {
                        Some(true) => Ok(()),
                        _ => Err(format!("failed to lock key {key:?}")),
                    }
                }
            };
            match done {
                Ok(()) => results.extend(after.keys.get(&key).map(|e| (key.clone(), e.clone()))),
                Err(what) => errors.push((i, what)),
            }
        }
        let changed = errors.is_empty() && self.keys != before.0;
        self.index = if changed { index } else { index - 1 };
        if !errors.is_empty() {
            (self.keys, self.delays) = before;
            return Err(errors);
        }
        Ok(results)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
        let keeps = store.create(0, "a", Some(100), 50, false);
        let deletes = store.create(0, "b", Some(100), 0, true);
        let other = store.create(0, "c", None, 0, false);
        assert_eq!(store.acquire(0, "k", vec![], 0, &keeps), Some(true));
        assert_eq!(store.acquire(0, "d", vec![], 0, &deletes), Some(true));
        assert_eq!(store.acquire(0, "k", vec![], 0, &other), Some(false));
        assert!(store.renew(60, &keeps));
        store.expire(100);
        assert!(!store.sessions.contains_key(&deletes) && !store.keys.contains_key("d"));
        store.expire(160);
        assert_eq!(store.keys["k"].session, None);
        assert_eq!(store.acquire(180, "k", vec![], 0, &other), Some(false), "the lock delay");
        assert_eq!(store.acquire(211, "k", vec![], 0, &other), Some(true));
        assert_eq!(store.acquire(211, "k", vec![], 0, &keeps), None);
        assert!(!store.renew(211, &keeps));
    }

    #[test]
    fn a_transaction_is_carried_out_whole_or_not_at_all() {
        let mut store = Store::seeded(1, 1);
        let session = store.create(0, "a", None, 0, true);
        store.acquire(0, "holder", vec![], 0, &session).expect("a session");
        let cas = |index| ("d".to_owned(), Operation::Cas(b"1".to_vec(), 0, index));
        let check = ("holder".to_owned(), Operation::CheckSession(session.clone()));
        let done = store.transact(0, vec![check.clone(), cas(0)]).expect("both fit");
        assert_eq!(done[1].1.modify_index, store.index);
        let before = store.keys.clone();
        assert_eq!(store.transact(0, vec![check.clone(), cas(0)]).expect_err("stale")[0].0, 1);
        let set = ("e".to_owned(), Operation::Set(vec![], 0));
        assert_eq!(store.transact(0, vec![set, cas(0)]).expect_err("stale")[0].0, 1);
        assert_eq!(store.keys, before, "nothing of it stays");
        store.destroy(0, &session);
        let index = store.keys["d"].modify_index;
        assert_eq!(store.transact(0, vec![check, cas(index)]).expect_err("gone")[0].0, 0);
    }
}
