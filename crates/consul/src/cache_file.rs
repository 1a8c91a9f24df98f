//! The cache file with the last confirmed endpoint lists. Each write replaces it atomically.

use crate::error::CacheFileError;
use crate::sync::locked;
use catalogue::{AgedList, CachedList, Instance, MAX_FILE_BYTES};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use timestamps::UnixTime;

/// Interval at which unchanged lists are written again, which renews their time of confirmation.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum time between two writes of changing lists.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

type InstancesByService = BTreeMap<String, Vec<Instance>>;

/// The cache file of all watched services.
#[derive(Debug)]
pub struct CacheFile {
    path: PathBuf,
    /// The list read at the start.
    initial: Option<AgedList>,
    state: Mutex<State>,
}

/// The cached instances of one service, as read at the start.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedInstances {
    /// The instances that were eligible.
    pub instances: Vec<Instance>,
    /// Age of the list in whole seconds when it was read.
    pub age: Duration,
}

#[derive(Debug)]
struct State {
    services: InstancesByService,
    /// Services without a response since the start. The file is not written until this is empty.
    awaited: BTreeSet<String>,
    written_at: Option<Instant>,
    written_services: InstancesByService,
    /// Whether the last write failed. Only the first of consecutive failures is logged.
    is_failing: bool,
}

impl State {
    /// Whether all services have a response, and the file is to be written now.
    fn is_write_due(&self) -> bool {
        if !self.awaited.is_empty() {
            return false;
        }
        let Some(written_at) = self.written_at else { return true };
        let elapsed = written_at.elapsed();
        let has_changed = self.services != self.written_services;
        elapsed >= RENEW_INTERVAL || (elapsed >= MIN_WRITE_INTERVAL && has_changed)
    }
}

impl CacheFile {
    /// Reads the file at `path`, and prepares to write the lists of these services. An invalid file is logged and ignored.
    pub fn open(path: PathBuf, max_age: Duration, services: impl IntoIterator<Item = String>) -> Self {
        let initial = read(&path, max_age).unwrap_or_else(|error| {
            tracing::warn!(path = %path.display(), %error, "endpoint cache not usable");
            None
        });
        let state = State {
            services: BTreeMap::new(),
            awaited: services.into_iter().collect(),
            written_at: None,
            written_services: BTreeMap::new(),
            is_failing: false,
        };
        Self { path, initial, state: Mutex::new(state) }
    }

    /// Returns the instances of a service that were read at the start.
    pub fn cached(&self, service: &str) -> Option<CachedInstances> {
        let initial = self.initial.as_ref()?;
        let instances = initial.list.services.get(service)?.clone();
        Some(CachedInstances { instances, age: initial.age })
    }

    /// Stores the list of a service that Consul has just confirmed, and writes the file if a write is due.
    pub fn store(&self, service: &str, instances: Vec<Instance>) {
        let mut state = locked(&self.state);
        state.services.insert(service.to_owned(), instances);
        state.awaited.remove(service);
        if !state.is_write_due() {
            return;
        }
        let list = CachedList { confirmed_at: unix_time(), services: state.services.clone() };
        match replace(&self.path, &list.encode()) {
            Ok(()) => {
                state.is_failing = false;
                state.written_services = list.services;
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

fn unix_time() -> UnixTime {
    UnixTime::ZERO + SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Reads the list from the file; `None` if there is no file.
fn read(path: &Path, max_age: Duration) -> Result<Option<AgedList>, CacheFileError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES as u64).read_to_end(&mut bytes)?;
    Ok(Some(CachedList::decode(&bytes, unix_time(), max_age)?))
}

/// Replaces a file atomically: a crash at any point leaves the old contents or the new ones.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let temporary = path.with_extension(format!("{}.new", std::process::id()));
    let result = write_and_rename(&temporary, path, text);
    if result.is_err() {
        // The temporary file may not exist, and a failure to remove it has no other remedy.
        let _ = fs::remove_file(&temporary);
    }
    result
}

fn write_and_rename(temporary: &Path, path: &Path, text: &str) -> io::Result<()> {
    let mut file = File::create(temporary)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(temporary, path)?;
    // The rename is durable only after a sync of the directory.
    match path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}
