//! The cached endpoint list on disk, replaced as a whole or not at all.

use crate::error::CacheFileError;
use crate::sync::locked;
use catalogue::{AgedList, CachedList, Instance, MAX_FILE_BYTES, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An unchanged list is written again after this, so that its age is known.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);
/// A changing one is written no more often than this.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

type InstancesByService = BTreeMap<String, Vec<Instance>>;

/// The file.
#[derive(Debug)]
pub struct CacheFile {
    path: PathBuf,
    /// What it held at the start.
    found: Option<AgedList>,
    state: Mutex<State>,
}

/// What the file held of one service at the start.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedInstances {
    /// The instances that were eligible.
    pub instances: Vec<Instance>,
    /// The age of the file when it was read.
    pub age_seconds: u64,
}

#[derive(Debug)]
struct State {
    services: InstancesByService,
    /// Services without a response since the start: the file is not written before all have one.
    awaited: BTreeSet<String>,
    written_at: Option<Instant>,
    written: InstancesByService,
    is_failing: bool,
}

impl State {
    fn is_due(&self) -> bool {
        let Some(written_at) = self.written_at else { return true };
        let elapsed = written_at.elapsed();
        let has_changed = self.services != self.written;
        elapsed >= RENEW_INTERVAL || (elapsed >= MIN_WRITE_INTERVAL && has_changed)
    }
}

impl CacheFile {
    /// Opens the file for these services. One that cannot be used is logged and not used.
    pub fn open(path: PathBuf, max_age_seconds: u64, services: impl IntoIterator<Item = String>) -> Self {
        let found = read(&path, max_age_seconds).unwrap_or_else(|error| {
            tracing::warn!(path = %path.display(), %error, "endpoint cache not usable");
            None
        });
        let state = State {
            services: BTreeMap::new(),
            awaited: services.into_iter().collect(),
            written_at: None,
            written: BTreeMap::new(),
            is_failing: false,
        };
        Self { path, found, state: Mutex::new(state) }
    }

    /// What the file held of a service at the start.
    pub fn cached(&self, service: &str) -> Option<CachedInstances> {
        let found = self.found.as_ref()?;
        let instances = found.list.services.get(service)?.clone();
        Some(CachedInstances { instances, age_seconds: found.age_seconds })
    }

    /// Stores what Consul has just confirmed of a service, and writes the file if that is due.
    pub fn store(&self, service: &str, instances: Vec<Instance>) {
        let mut state = locked(&self.state);
        state.services.insert(service.to_owned(), instances);
        state.awaited.remove(service);
        if !state.is_due() || !state.awaited.is_empty() {
            return;
        }
        let list = CachedList { confirmed_at: unix_time(), services: state.services.clone() };
        match replace(&self.path, &list.encode()) {
            Ok(()) => {
                state.is_failing = false;
                state.written = list.services;
            }
            Err(error) if !state.is_failing => {
                tracing::warn!(path = %self.path.display(), %error, "endpoint cache write failed");
                state.is_failing = true;
            }
            Err(_) => {}
        }
        state.written_at = Some(Instant::now());
    }
}

fn unix_time() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as Millis
}

fn read(path: &Path, max_age_seconds: u64) -> Result<Option<AgedList>, CacheFileError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES as u64).read_to_end(&mut bytes)?;
    Ok(Some(CachedList::decode(&bytes, unix_time(), max_age_seconds)?))
}

/// Writes a temporary file and renames it: a crash at any point leaves the old file or the new one.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let temporary = path.with_extension(format!("{}.new", std::process::id()));
    let result = write_and_rename(&temporary, path, text);
    if result.is_err() {
        // It may not exist; there is nothing else to be done about it.
        let _ = fs::remove_file(&temporary);
    }
    result
}

fn write_and_rename(temporary: &Path, path: &Path, text: &str) -> io::Result<()> {
    let mut file = File::create(temporary)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(temporary, path)?;
    // The directory entry must survive a crash too.
    match path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}
