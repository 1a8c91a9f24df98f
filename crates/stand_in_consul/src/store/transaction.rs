//! Transactions: either all operations are applied or none.

use super::{Entry, KeySelector, Store};

/// An operation on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// Check-and-set: writes the key if `index` is its current index, or if `index` is 0 and the key does not exist.
    Cas { value: Vec<u8>, flags: u64, index: u64 },
    /// Writes the key, whatever its index.
    Set { value: Vec<u8>, flags: u64 },
    /// Reads the key. Fails if it does not exist.
    Get,
    /// Fails unless this session holds the lock of the key.
    CheckSession(String),
    /// Fails unless the index of the key is this one.
    CheckIndex(u64),
    /// Deletes the key.
    Delete,
    /// Locks the key for a session and writes it.
    Lock { value: Vec<u8>, flags: u64, session: String },
}

/// An operation of a transaction and the key to which it applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeyOperation {
    pub(crate) key: String,
    pub(crate) operation: Operation,
}

/// A key with its entry as an operation of a transaction left it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeyValue {
    pub(crate) key: String,
    pub(crate) entry: Entry,
}

/// Why an operation of a transaction failed. The texts are Consul's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum OperationError {
    /// Check-and-set found another index.
    #[error("failed to set key {0:?}, index is stale")]
    StaleIndex(String),
    /// The key does not exist.
    #[error("key {0:?} doesn't exist")]
    MissingKey(String),
    /// The session does not hold the lock of the key.
    #[error("failed session check for key {0:?}")]
    SessionCheck(String),
    /// The index check found another index.
    #[error("failed index check for key {0:?}")]
    IndexCheck(String),
    /// Another session holds the lock of the key, the session does not exist, or the lock delay is not over.
    #[error("failed to lock key {0:?}")]
    Locked(String),
}

/// A failed operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FailedOperation {
    /// Position in the transaction.
    pub(crate) position: usize,
    pub(crate) error: OperationError,
}

impl Store {
    /// Applies all operations with one common index, or none if any fails. Returns a result for each operation after which its
    /// key exists, in the order of the operations.
    ///
    /// # Errors
    ///
    /// Returns the operations that failed.
    pub(crate) fn transact(
        &mut self,
        now_ms: u64,
        operations: Vec<KeyOperation>,
    ) -> Result<Vec<KeyValue>, Vec<FailedOperation>> {
        let (keys_before, delays_before) = (self.keys.clone(), self.lock_delays.clone());
        let (mut results, mut failures) = (Vec::new(), Vec::new());
        let index_before = self.index;
        for (position, KeyOperation { key, operation }) in operations.into_iter().enumerate() {
            self.index = index_before;
            match self.apply(now_ms, &key, operation) {
                Ok(()) => {
                    let entry = self.keys.get(&key).cloned();
                    results.extend(entry.map(|entry| KeyValue { key, entry }));
                }
                Err(error) => failures.push(FailedOperation { position, error }),
            }
        }
        let has_changed = failures.is_empty() && self.keys != keys_before;
        self.index = index_before + u64::from(has_changed);
        if !failures.is_empty() {
            (self.keys, self.lock_delays) = (keys_before, delays_before);
            return Err(failures);
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
                let is_locked = entry.is_some_and(|entry| entry.is_locked_by(&session));
                check(is_locked, OperationError::SessionCheck)
            }
            Operation::CheckIndex(index) => {
                let matches = entry.is_some_and(|entry| entry.modify_index == index);
                check(matches, OperationError::IndexCheck)
            }
            Operation::Delete => {
                self.delete(KeySelector::Key(key));
                Ok(())
            }
            Operation::Lock { value, flags, session } => {
                let is_locked = self.acquire(now_ms, key, value, flags, &session) == Ok(true);
                check(is_locked, OperationError::Locked)
            }
        }
    }
}
