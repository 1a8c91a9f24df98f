//! The KV store and its sessions, without I/O. Callers pass the current time in milliseconds of a monotonic clock.

mod session;
mod transaction;

#[cfg(test)]
mod tests;

pub(crate) use session::{KeysAtEnd, Session, SessionOptions};
pub(crate) use transaction::{FailedOperation, KeyOperation, KeyValue, Operation};

use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::BTreeMap;

/// The index with which check-and-set expects that the key does not exist.
const MISSING_KEY_INDEX: u64 = 0;

/// The value of a key and its metadata.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) value: Vec<u8>,
    /// Flags of the last write. The store does not interpret them.
    pub(crate) flags: u64,
    /// Index at which the key was created.
    pub(crate) create_index: u64,
    /// Index of the last change.
    pub(crate) modify_index: u64,
    /// Number of times that the key was locked.
    pub(crate) lock_index: u64,
    /// Id of the session that holds the lock.
    pub(crate) session: Option<String>,
}

impl Entry {
    fn is_locked_by(&self, session: &str) -> bool {
        self.session.as_deref() == Some(session)
    }
}

/// The keys that a query reads or a deletion removes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum KeySelector<'a> {
    /// One key.
    Key(&'a str),
    /// All keys with this prefix (`recurse`).
    Prefix(&'a str),
}

impl KeySelector<'_> {
    fn matches(self, key: &str) -> bool {
        match self {
            Self::Key(selected) => key == selected,
            Self::Prefix(prefix) => key.starts_with(prefix),
        }
    }
}

/// The session for which a lock was requested does not exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid session")]
pub(crate) struct InvalidSession;

/// The KV store with its sessions.
#[derive(Debug)]
pub(crate) struct Store {
    keys: BTreeMap<String, Entry>,
    /// Sessions by id.
    sessions: BTreeMap<String, Session>,
    /// End of the lock delay in milliseconds, by key.
    lock_delays: BTreeMap<String, u64>,
    /// Index of the last change.
    index: u64,
    random: StdRng,
}

impl Default for Store {
    fn default() -> Self {
        Self::new(1)
    }
}

impl Store {
    /// Creates an empty store with this index.
    pub(crate) fn new(index: u64) -> Self {
        // Session ids must differ between incarnations of a store: a session of an earlier one must not be valid in a later one.
        Self::with_random(index, rand::make_rng())
    }

    fn with_random(index: u64, random: StdRng) -> Self {
        Self { keys: BTreeMap::new(), sessions: BTreeMap::new(), lock_delays: BTreeMap::new(), index, random }
    }

    fn next_index(&mut self) -> u64 {
        self.index += 1;
        self.index
    }

    /// Returns the selected keys with their entries, in lexicographic order.
    pub(crate) fn matching<'a>(
        &'a self,
        selector: KeySelector<'a>,
    ) -> impl Iterator<Item = (&'a String, &'a Entry)> {
        self.keys.iter().filter(move |(key, _)| selector.matches(key))
    }

    /// Returns the index of a query: that of the last change of the selected keys, or the index of the store if no key is
    /// selected.
    pub(crate) fn index_of(&self, selector: KeySelector<'_>) -> u64 {
        self.matching(selector).map(|(_, entry)| entry.modify_index).max().unwrap_or(self.index)
    }

    /// Ends the sessions that have expired.
    pub(crate) fn expire_sessions(&mut self, now_ms: u64) {
        let expired = self.sessions.iter().filter(|(_, session)| session.has_expired(now_ms));
        let ids: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        ids.iter().for_each(|id| self.destroy_session(now_ms, id));
    }

    /// Creates a session and returns its id.
    pub(crate) fn create_session(&mut self, now_ms: u64, options: SessionOptions) -> String {
        let create_index = self.next_index();
        let id = self.random_id();
        self.sessions.insert(id.clone(), Session::new(options, create_index, now_ms));
        id
    }

    /// Generates a random id in the format of a UUID.
    fn random_id(&mut self) -> String {
        let bits: u128 = self.random.random();
        let hex = format!("{bits:032x}");
        [&hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..]].join("-")
    }

    /// Restarts the TTL of a session and returns the session; `None` if it does not exist.
    pub(crate) fn renew_session(&mut self, now_ms: u64, id: &str) -> Option<&Session> {
        let session = self.sessions.get_mut(id)?;
        session.renew(now_ms);
        Some(session)
    }

    /// Ends a session. The keys that it has locked are released or deleted, and cannot be locked until its lock delay is over.
    pub(crate) fn destroy_session(&mut self, now_ms: u64, id: &str) {
        let Some(session) = self.sessions.remove(id) else { return };
        let locked = self.keys.iter().filter(|(_, entry)| entry.is_locked_by(id));
        let keys: Vec<String> = locked.map(|(key, _)| key.clone()).collect();
        for key in keys {
            let index = self.next_index();
            if let Some(until) = session.lock_delay_until(now_ms) {
                self.lock_delays.insert(key.clone(), until);
            }
            match session.keys_at_end() {
                KeysAtEnd::Delete => {
                    self.keys.remove(&key);
                }
                KeysAtEnd::Release => {
                    self.keys.entry(key).and_modify(|entry| {
                        entry.session = None;
                        entry.modify_index = index;
                    });
                }
            }
        }
    }

    /// Writes a key, and returns its entry.
    pub(crate) fn set(&mut self, key: &str, value: Vec<u8>, flags: u64) -> &mut Entry {
        let index = self.next_index();
        let create = || Entry { create_index: index, ..Entry::default() };
        let entry = self.keys.entry(key.to_owned()).or_insert_with(create);
        entry.value = value;
        entry.flags = flags;
        entry.modify_index = index;
        entry
    }

    /// Check-and-set: writes the key if `index` is its current index, or if `index` is 0 and the key does not exist. Returns
    /// whether it was written.
    pub(crate) fn cas(&mut self, key: &str, value: Vec<u8>, flags: u64, index: u64) -> bool {
        let current_index = self.keys.get(key).map_or(MISSING_KEY_INDEX, |entry| entry.modify_index);
        let is_current = current_index == index;
        if is_current {
            self.set(key, value, flags);
        }
        is_current
    }

    /// Locks a key for a session and writes it. Returns `false` if another session holds the lock, or the lock delay is not over.
    pub(crate) fn acquire(
        &mut self,
        now_ms: u64,
        key: &str,
        value: Vec<u8>,
        flags: u64,
        session: &str,
    ) -> Result<bool, InvalidSession> {
        if !self.sessions.contains_key(session) {
            return Err(InvalidSession);
        }
        let holder = self.keys.get(key).and_then(|entry| entry.session.as_deref());
        let is_free = holder.is_none();
        let is_locked_by_other = holder.is_some_and(|holder| holder != session);
        let is_delayed = self.lock_delays.get(key).is_some_and(|&until| until > now_ms);
        if is_locked_by_other || (is_free && is_delayed) {
            return Ok(false);
        }
        let entry = self.set(key, value, flags);
        entry.lock_index += u64::from(is_free);
        entry.session = Some(session.to_owned());
        Ok(true)
    }

    /// Writes and unlocks a key if this session holds its lock. Returns whether the session held it.
    pub(crate) fn release(&mut self, key: &str, value: Vec<u8>, flags: u64, session: &str) -> bool {
        let is_locked = self.keys.get(key).is_some_and(|entry| entry.is_locked_by(session));
        if is_locked {
            self.set(key, value, flags).session = None;
        }
        is_locked
    }

    /// Deletes the selected keys.
    pub(crate) fn delete(&mut self, selector: KeySelector<'_>) {
        let count_before = self.keys.len();
        self.keys.retain(|key, _| !selector.matches(key));
        if self.keys.len() != count_before {
            self.next_index();
        }
    }
}
