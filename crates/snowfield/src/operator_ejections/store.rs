//! Storage of the backends that operators have ejected. A failed write is retried with exponential backoff until it succeeds.

use super::file::{self, EjectionsFileError};
use crate::backoff::ExponentialBackoff;
use crate::endpoint_ids::EndpointIds;
use link::lock_or_abort;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Backoff before the first retry of a write.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff between two retries of a write.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Writes the ids of the ejected backends to a file.
#[derive(Clone)]
pub struct EjectionsStore {
    directory: PathBuf,
    endpoint_ids: Arc<Mutex<EndpointIds>>,
    /// Whether an ejection or restoration is in force that is not yet written to the file.
    is_pending: Arc<AtomicBool>,
}

impl EjectionsStore {
    /// Creates a store in this directory.
    pub fn new(directory: PathBuf, endpoint_ids: Arc<Mutex<EndpointIds>>) -> Self {
        Self { directory, endpoint_ids, is_pending: Arc::default() }
    }

    /// Reads the ids in the file; returns no ids if the file does not exist.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or is damaged.
    pub fn read(&self) -> Result<Vec<String>, EjectionsFileError> {
        file::read(&self.directory)
    }

    /// Whether an ejection or restoration is in force that is not yet written to the file.
    pub fn is_pending(&self) -> bool {
        self.is_pending.load(Ordering::Acquire)
    }

    /// Writes the ejected ids to the file. If the write fails, a thread retries until it succeeds. The caller holds the lock on
    /// `endpoint_ids`.
    pub fn store(&self, endpoint_ids: &EndpointIds) {
        let Err(error) = file::write(&self.directory, endpoint_ids.ejected()) else { return };
        tracing::warn!(%error, "ejections file write failed, retrying");
        if !self.is_pending.swap(true, Ordering::AcqRel) {
            let store = self.clone();
            thread::spawn(move || store.write_until_stored());
        }
    }

    fn write_until_stored(&self) {
        let mut backoff = ExponentialBackoff::new(MIN_BACKOFF, MAX_BACKOFF);
        loop {
            backoff.sleep();
            // The file is written under the lock, so that an earlier state never overwrites a later one.
            let endpoint_ids = lock_or_abort(&self.endpoint_ids);
            if file::write(&self.directory, endpoint_ids.ejected()).is_ok() {
                self.is_pending.store(false, Ordering::Release);
                tracing::info!("ejections file written");
                return;
            }
        }
    }
}
