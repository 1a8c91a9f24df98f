//! Transactions: all operations are applied, or none.

use super::{Entry, Store};

/// An operation on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Check-and-set.
    Cas {
        /// The value.
        value: Vec<u8>,
        /// The flags.
        flags: u64,
        /// The index that the key must have; 0 stands for no key.
        index: u64,
    },
    /// Writes.
    Set {
        /// The value.
        value: Vec<u8>,
        /// The flags.
        flags: u64,
    },
    /// Reads; a missing key fails.
    Get,
    /// Fails where the key is not held by this session.
    CheckSession(String),
    /// Fails where the key's index is not this one.
    CheckIndex(u64),
    /// Deletes.
    Delete,
    /// Locks, with a value.
    Lock {
        /// The value.
        value: Vec<u8>,
        /// The flags.
        flags: u64,
        /// The session.
        session: String,
    },
}

/// An operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyOperation {
    /// The key.
    pub key: String,
    /// What is done with it.
    pub operation: Operation,
}

/// A key and its entry after a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// Its entry.
    pub entry: Entry,
}

/// Why an operation of a transaction fails, in Consul's words.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperationError {
    /// The key has another index.
    #[error("failed to set key {0:?}, index is stale")]
    StaleIndex(String),
    /// There is no such key.
    #[error("key {0:?} doesn't exist")]
    MissingKey(String),
    /// The key is not held by the session.
    #[error("failed session check for key {0:?}")]
    SessionCheck(String),
    /// The key has another index.
    #[error("failed index check for key {0:?}")]
    IndexCheck(String),
    /// The key is held by another session, or cannot be locked yet.
    #[error("failed to lock key {0:?}")]
    Locked(String),
}

/// A failed operation: its position in the transaction, and why.
pub(crate) type FailedOperation = (usize, OperationError);

impl Store {
    /// Applies all operations or none. All changes share one index.
    ///
    /// # Errors
    ///
    /// The positions of those that fail, each with why.
    pub fn transact(
        &mut self,
        now_ms: u64,
        operations: Vec<KeyOperation>,
    ) -> Result<Vec<KeyValue>, Vec<FailedOperation>> {
        let (keys_before, delays_before) = (self.keys.clone(), self.lock_delays.clone());
        let (mut results, mut errors) = (Vec::new(), Vec::new());
        let index_before = self.index;
        for (position, KeyOperation { key, operation }) in operations.into_iter().enumerate() {
            self.index = index_before;
            match self.apply(now_ms, &key, operation) {
                Ok(()) => {
                    let entry = self.keys.get(&key).cloned();
                    results.extend(entry.map(|entry| KeyValue { key, entry }));
                }
                Err(error) => errors.push((position, error)),
            }
        }
        let has_changed = errors.is_empty() && self.keys != keys_before;
        self.index = index_before + u64::from(has_changed);
        if !errors.is_empty() {
            (self.keys, self.lock_delays) = (keys_before, delays_before);
            return Err(errors);
        }
        Ok(results)
    }

    fn apply(&mut self, now_ms: u64, key: &str, operation: Operation) -> Result<(), OperationError> {
        let entry = self.keys.get(key).cloned();
        let check = |holds: bool, error: fn(String) -> OperationError| {
            if holds { Ok(()) } else { Err(error(key.to_owned())) }
        };
        match operation {
            Operation::Cas { value, flags, index } => {
                check(self.cas(key, value, flags, index), OperationError::StaleIndex)
            }
            Operation::Set { value, flags } => {
                self.set(key, value, flags);
                Ok(())
            }
            Operation::Get => check(entry.is_some(), OperationError::MissingKey),
            Operation::CheckSession(session) => {
                let is_held = entry.is_some_and(|entry| entry.session == Some(session));
                check(is_held, OperationError::SessionCheck)
            }
            Operation::CheckIndex(index) => {
                let matches = entry.is_some_and(|entry| entry.modify_index == index);
                check(matches, OperationError::IndexCheck)
            }
            Operation::Delete => {
                self.delete(key, false);
                Ok(())
            }
            Operation::Lock { value, flags, session } => {
                let is_locked = self.acquire(now_ms, key, value, flags, &session) == Some(true);
                check(is_locked, OperationError::Locked)
            }
        }
    }
}
