//! The KV store and its sessions, without I/O: time is given in milliseconds.

mod transaction;

#[cfg(test)]
mod tests;

pub use transaction::{KeyOperation, KeyValue, Operation, OperationError};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Consul itself lets no TTL be shorter.
const MIN_TTL_MS: u64 = 10_000;

/// A key's entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// The flags that its writer gave.
    pub flags: u64,
    /// The index at which it was created.
    pub create_index: u64,
    /// The index of its last change.
    pub modify_index: u64,
    /// How often it was locked.
    pub lock_index: u64,
    /// The session that holds it.
    pub session: Option<String>,
}

/// What a session is created with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionOptions {
    /// Its name.
    pub name: String,
    /// Milliseconds without renewal after which it expires; `None` for never.
    pub ttl_ms: Option<u64>,
    /// Milliseconds for which a key that it held at its end cannot be locked.
    pub lock_delay_ms: u64,
    /// Whether keys that it holds at its end are deleted; else they are released.
    pub deletes_keys: bool,
}

/// A session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// What it was created with.
    pub options: SessionOptions,
    /// The index at which it was created.
    pub create_index: u64,
    expires_ms: Option<u64>,
}

impl Session {
    fn renew(&mut self, now_ms: u64) {
        self.expires_ms = self.options.ttl_ms.map(|ttl| now_ms + ttl);
    }

    fn has_expired(&self, now_ms: u64) -> bool {
        self.expires_ms.is_some_and(|at| at <= now_ms)
    }
}

/// The store.
#[derive(Debug)]
pub struct Store {
    /// By key.
    pub keys: BTreeMap<String, Entry>,
    /// By id.
    pub sessions: BTreeMap<String, Session>,
    /// By key until when it cannot be locked, ms.
    lock_delays: BTreeMap<String, u64>,
    /// The last index.
    pub index: u64,
    /// The shortest TTL of a session. Tests may have shorter ones than Consul.
    pub min_ttl_ms: u64,
    ids: StdRng,
}

impl Default for Store {
    fn default() -> Self {
        Self::new(1)
    }
}

impl Store {
    /// An empty store whose indexes go on from here.
    pub fn new(index: u64) -> Self {
        Self {
            keys: BTreeMap::new(),
            sessions: BTreeMap::new(),
            lock_delays: BTreeMap::new(),
            index,
            min_ttl_ms: MIN_TTL_MS,
            // Ids must differ between the incarnations of a store, or a session of an earlier one would be taken for a new one.
            ids: rand::make_rng(),
        }
    }

    /// As [`Store::new`], with ids from a seed.
    pub fn seeded(index: u64, seed: u64) -> Self {
        Self { ids: StdRng::seed_from_u64(seed), ..Self::new(index) }
    }

    fn next_index(&mut self) -> u64 {
        self.index += 1;
        self.index
    }

    /// Ends the sessions that have expired.
    pub fn expire(&mut self, now_ms: u64) {
        let expired = self.sessions.iter().filter(|(_, session)| session.has_expired(now_ms));
        let ids: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        ids.iter().for_each(|id| self.destroy_session(now_ms, id));
    }

    /// Creates a session and returns its id.
    pub fn create_session(&mut self, now_ms: u64, options: SessionOptions) -> String {
        let create_index = self.next_index();
        let bits: u128 = self.ids.random();
        let hex = format!("{bits:032x}");
        let id = [&hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..]].join("-");
        let mut session = Session { options, create_index, expires_ms: None };
        session.renew(now_ms);
        self.sessions.insert(id.clone(), session);
        id
    }

    /// Renews a session; `false` where there is none.
    pub fn renew_session(&mut self, now_ms: u64, id: &str) -> bool {
        let Some(session) = self.sessions.get_mut(id) else { return false };
        session.renew(now_ms);
        true
    }

    /// Ends a session: what it holds is released or deleted, and cannot be locked for its lock delay.
    pub fn destroy_session(&mut self, now_ms: u64, id: &str) {
        let Some(Session { options, .. }) = self.sessions.remove(id) else { return };
        let held = self.keys.iter().filter(|(_, entry)| entry.session.as_deref() == Some(id));
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            let index = self.next_index();
            if options.lock_delay_ms > 0 {
                self.lock_delays.insert(key.clone(), now_ms + options.lock_delay_ms);
            }
            if options.deletes_keys {
                self.keys.remove(&key);
            } else if let Some(entry) = self.keys.get_mut(&key) {
                entry.session = None;
                entry.modify_index = index;
            }
        }
    }

    /// Writes.
    pub fn set(&mut self, key: &str, value: Vec<u8>, flags: u64) {
        let index = self.next_index();
        let create = || Entry { create_index: index, ..Entry::default() };
        let entry = self.keys.entry(key.to_owned()).or_insert_with(create);
        (entry.value, entry.flags, entry.modify_index) = (value, flags, index);
    }

    /// Check-and-set: writes where the key's index is this one; 0 stands for no key. Tells whether it was written.
    pub fn cas(&mut self, key: &str, value: Vec<u8>, flags: u64, index: u64) -> bool {
        let matches = self.keys.get(key).map_or(0, |entry| entry.modify_index) == index;
        if matches {
            self.set(key, value, flags);
        }
        matches
    }

    /// Locks a key for a session and writes; `None` where there is no such session.
    pub fn acquire(
        &mut self,
        now_ms: u64,
        key: &str,
        value: Vec<u8>,
        flags: u64,
        session: &str,
    ) -> Option<bool> {
        if !self.sessions.contains_key(session) {
            return None;
        }
        let holder = self.keys.get(key).and_then(|entry| entry.session.clone());
        let is_delayed = self.lock_delays.get(key).is_some_and(|&until| until > now_ms);
        if holder.as_deref().is_some_and(|holder| holder != session) || (holder.is_none() && is_delayed) {
            return Some(false);
        }
        self.set(key, value, flags);
        if let Some(entry) = self.keys.get_mut(key) {
            entry.lock_index += u64::from(holder.is_none());
            entry.session = Some(session.to_owned());
        }
        Some(true)
    }

    /// Unlocks a key that this session holds, and writes.
    pub fn release(&mut self, key: &str, value: Vec<u8>, flags: u64, session: &str) -> bool {
        let is_held = self.keys.get(key).is_some_and(|entry| entry.session.as_deref() == Some(session));
        if is_held {
            self.set(key, value, flags);
            if let Some(entry) = self.keys.get_mut(key) {
                entry.session = None;
            }
        }
        is_held
    }

    /// Deletes a key, or all that begin with it.
    pub fn delete(&mut self, key: &str, recurse: bool) {
        let before = self.keys.len();
        self.keys.retain(|k, _| if recurse { !k.starts_with(key) } else { k != key });
        if self.keys.len() != before {
            self.next_index();
        }
    }
}
