//! Keeps the file of ejected backends true: a write that fails is tried again until it succeeds.

use crate::ejections_file;
use crate::endpoint_ids::EndpointIds;
use link::locked;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The first pause before a write is tried again, which doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The file of the backends that operators have ejected.
#[derive(Clone)]
pub struct EjectionsStore {
    directory: PathBuf,
    endpoint_ids: Arc<Mutex<EndpointIds>>,
    /// The file does not have what is in force.
    is_pending: Arc<AtomicBool>,
}

impl EjectionsStore {
    /// A store in this directory.
    pub fn new(directory: PathBuf, endpoint_ids: Arc<Mutex<EndpointIds>>) -> Self {
        Self { directory, endpoint_ids, is_pending: Arc::default() }
    }

    /// Where the file is.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Whether what is in force is not in the file yet.
    pub fn is_pending(&self) -> bool {
        self.is_pending.load(Ordering::Acquire)
    }

    /// Writes the file, now or as soon as the disk takes it. The caller holds the lock of the ids.
    pub fn store(&self, endpoint_ids: &EndpointIds) {
        let Err(error) = ejections_file::write(&self.directory, endpoint_ids.ejected()) else { return };
        tracing::warn!(%error, "ejections file write failed, retrying");
        if !self.is_pending.swap(true, Ordering::AcqRel) {
            let store = self.clone();
            thread::spawn(move || store.write_until_stored());
        }
    }

    fn write_until_stored(&self) {
        let mut pause = FIRST_PAUSE;
        loop {
            thread::sleep(pause);
            pause = (2 * pause).min(MAX_PAUSE);
            // Under the lock, so that no later state is overwritten by an earlier one.
            let endpoint_ids = locked(&self.endpoint_ids);
            if ejections_file::write(&self.directory, endpoint_ids.ejected()).is_ok() {
                self.is_pending.store(false, Ordering::Release);
                tracing::info!("ejections file written");
                return;
            }
        }
    }
}
