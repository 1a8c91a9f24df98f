//! Reads and writes the cache file, which has the endpoint lists that Consul confirmed last. Each write replaces the file
//! atomically.

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

/// Interval at which the file is rewritten while the lists are unchanged, so that the file has a recent confirmation time.
const UNCHANGED_REWRITE_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum time between two writes while lists change.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

type InstancesByService = BTreeMap<String, Vec<Instance>>;

/// The cache file, which all watches share. Safe to use from several threads.
#[derive(Debug)]
pub struct CacheFile {
    path: PathBuf,
    /// The lists read from the file at the start; `None` if there was no valid file.
    initial_lists: Option<AgedList>,
    state: Mutex<State>,
}

/// The cached instances of one service, as read at the start.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedInstances {
    /// The instances that were eligible when Consul confirmed the list.
    pub instances: Vec<Instance>,
    /// Time between Consul's confirmation of the list and the reading of the file, in whole seconds.
    pub age: Duration,
}

#[derive(Debug)]
struct State {
    services: InstancesByService,
    /// Services without a response since the start. The file is not written while this set is non-empty, so that no
    /// list gets lost.
    services_without_response: BTreeSet<String>,
    written_at: Option<Instant>,
    written_services: InstancesByService,
    /// Whether the last write failed. Of consecutive failures only the first is logged.
    last_write_failed: bool,
}

impl State {
    /// Whether the file must be written now. Before all services have a response, it must not. Afterwards, the first write is
    /// due at once, a write of changed lists after [`MIN_WRITE_INTERVAL`], and a write of unchanged lists after
    /// [`UNCHANGED_REWRITE_INTERVAL`].
    fn is_write_due(&self) -> bool {
        if !self.services_without_response.is_empty() {
            return false;
        }
        let Some(written_at) = self.written_at else { return true };
        let elapsed = written_at.elapsed();
        let has_changed = self.services != self.written_services;
        elapsed >= UNCHANGED_REWRITE_INTERVAL || (elapsed >= MIN_WRITE_INTERVAL && has_changed)
    }
}

impl CacheFile {
    /// Reads the cache file at `path`. Logs and ignores an invalid file. The file is first written when [`CacheFile::store`]
    /// has received a list for each service in `services`.
    pub fn open(path: PathBuf, max_age: Duration, services: impl IntoIterator<Item = String>) -> Self {
        let initial_lists = read(&path, max_age).unwrap_or_else(|error| {
            tracing::warn!(path = %path.display(), %error, "endpoint cache not usable");
            None
        });
        let state = State {
            services: BTreeMap::new(),
            services_without_response: services.into_iter().collect(),
            written_at: None,
            written_services: BTreeMap::new(),
            last_write_failed: false,
        };
        Self { path, initial_lists, state: Mutex::new(state) }
    }

    /// Returns the instances of a service that were read at the start; `None` if the file was missing, invalid or
    /// without this service.
    pub fn cached(&self, service: &str) -> Option<CachedInstances> {
        let initial_lists = self.initial_lists.as_ref()?;
        let instances = initial_lists.list.services.get(service)?.clone();
        Some(CachedInstances { instances, age: initial_lists.age })
    }

    /// Stores the list of a service that Consul has just confirmed, and writes the file if a write is due.
    pub fn store(&self, service: &str, instances: Vec<Instance>) {
        let mut state = locked(&self.state);
        state.services.insert(service.to_owned(), instances);
        state.services_without_response.remove(service);
        if !state.is_write_due() {
            return;
        }
        let list = CachedList { confirmed_at: unix_time(), services: state.services.clone() };
        match replace(&self.path, &list.encode()) {
            Ok(()) => {
                state.last_write_failed = false;
                state.written_services = list.services;
            }
            Err(error) if !state.last_write_failed => {
                tracing::warn!(path = %self.path.display(), %error, "endpoint cache write failed");
                state.last_write_failed = true;
            }
            Err(_) => {}
        }
        state.written_at = Some(Instant::now());
    }
}

fn unix_time() -> UnixTime {
    UnixTime::ZERO + SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Reads the lists from the file; `None` if there is no file.
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

/// Replaces a file atomically: after a crash at any point, the file has either the old or the new contents.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let temporary = path.with_extension(format!("{}.new", std::process::id()));
    let result = write_and_rename(&temporary, path, text);
    if result.is_err() {
        // The temporary file may not exist. If it cannot be removed, nothing else can be done about it.
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
