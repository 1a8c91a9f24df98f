//! The last good list on disk, replaced whole or not at all.

use crate::watch::held;
use catalogue::CachedList;
use catalogue::Instance;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An unchanged list is written anew after this, so that its age is known.
const RENEW: Duration = Duration::from_secs(10);
/// A changing one no more often than this.
const SPACE: Duration = Duration::from_millis(500);

/// The file.
#[derive(Debug)]
pub struct CacheFile {
    path: PathBuf,
    /// What it held at the start, with its age in seconds.
    found: Option<(CachedList, u64)>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    services: BTreeMap<String, Vec<Instance>>,
    /// Services that have been heard of since the start: the file is not written before all have.
    awaited: BTreeSet<String>,
    written: Option<Instant>,
    as_written: BTreeMap<String, Vec<Instance>>,
    failing: bool,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl CacheFile {
    /// Opens the file for these services. One that cannot be used is said so and not used.
    pub fn open(path: PathBuf, most_age_s: u64, services: impl IntoIterator<Item = String>) -> Self {
        let read = || -> Result<Option<(CachedList, u64)>, String> {
            let mut bytes = Vec::new();
            match File::open(&path) {
                Ok(file) => file
                    .take(catalogue::MAX_FILE_BYTES as u64)
                    .read_to_end(&mut bytes)
                    .map_err(|e| e.to_string())?,
                Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
                Err(e) => return Err(e.to_string()),
            };
            CachedList::decode(&bytes, unix_ms(), most_age_s).map(Some).map_err(|e| e.to_string())
        };
        let found = read().unwrap_or_else(|why| {
            tracing::warn!("consul: the list file {} is not used: {why}", path.display());
            None
        });
        let state = State {
            services: BTreeMap::new(),
            awaited: services.into_iter().collect(),
            written: None,
            as_written: BTreeMap::new(),
            failing: false,
        };
        Self { path, found, state: Mutex::new(state) }
    }

    /// What it held of a service, with its age in seconds.
    pub fn cached(&self, service: &str) -> Option<(Vec<Instance>, u64)> {
        let (saved, age) = self.found.as_ref()?;
        Some((saved.services.get(service)?.clone(), *age))
    }

    /// Keeps what Consul has just confirmed of a service.
    pub fn store(&self, service: &str, instances: Vec<Instance>) {
        let mut state = held(&self.state);
        state.services.insert(service.to_owned(), instances);
        state.awaited.remove(service);
        let since = state.written.map(|at| at.elapsed());
        let due = match since {
            None => true,
            Some(since) => since >= RENEW || (since >= SPACE && state.services != state.as_written),
        };
        if !due || !state.awaited.is_empty() {
            return;
        }
        let saved = CachedList { confirmed_at: unix_ms(), services: state.services.clone() };
        match self.write(&saved.encode()) {
            Ok(()) => {
                state.failing = false;
                state.as_written = saved.services;
            }
            Err(e) if !state.failing => {
                tracing::warn!("consul: the list file {} could not be written: {e}", self.path.display());
                state.failing = true;
            }
            Err(_) => {}
        }
        state.written = Some(Instant::now());
    }

    /// Beside the file first, then in its place: a crash at any point leaves the old file or the new one.
    fn write(&self, text: &str) -> io::Result<()> {
        let beside = self.path.with_extension(format!("{}.new", std::process::id()));
        let done = (|| {
            let mut file = File::create(&beside)?;
            file.write_all(text.as_bytes())?;
            file.sync_all()?;
            fs::rename(&beside, &self.path)?;
            // The name itself must survive a crash too.
            match self.path.parent().filter(|p| !p.as_os_str().is_empty()) {
                Some(folder) => File::open(folder)?.sync_all(),
                None => Ok(()),
            }
        })();
        if done.is_err() {
            let _ = fs::remove_file(&beside);
        }
        done
    }
}
