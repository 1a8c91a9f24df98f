//! Writes the cache file and reads it at the next start, also after damage.

use catalogue::{HealthStatus, Instance};
use consul::CacheFile;
use std::path::PathBuf;
use std::time::Duration;

const MAX_AGE: Duration = Duration::from_secs(60);

/// Path of a cache file in a temporary directory, which is removed on drop.
struct TemporaryPath(PathBuf);

impl TemporaryPath {
    fn new(name: &str) -> Self {
        let directory = std::env::temp_dir().join(format!("snowfield-cache-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the directory is created");
        Self(directory.join("endpoints.list"))
    }

    fn open(&self, services: &[&str]) -> CacheFile {
        let services = services.iter().map(|&service| service.to_owned());
        CacheFile::open(self.0.clone(), MAX_AGE, services)
    }
}

impl Drop for TemporaryPath {
    fn drop(&mut self) {
        let directory = self.0.parent().expect("the file has a parent directory");
        // A directory that cannot be removed does not affect the tests.
        let _ = std::fs::remove_dir_all(directory);
    }
}

fn instances() -> Vec<Instance> {
    let address = "127.0.0.1:80".parse().expect("a valid address");
    let health = HealthStatus::Passing;
    vec![Instance { id: "n/x".into(), address, health, weight: 1.0, started_at: None }]
}

#[test]
fn the_file_is_written_once_all_services_have_a_response_and_read_at_the_next_start() {
    let path = TemporaryPath::new("written");
    let cache = path.open(&["loans", "rates"]);
    assert_eq!(cache.cached("loans"), None);
    cache.store("loans", instances());
    assert!(!path.0.exists(), "the list of the other service is not known yet");
    cache.store("rates", Vec::new());
    let cached = path.open(&["loans", "rates"]).cached("loans").expect("the file was written");
    assert_eq!(cached.instances, instances());
    assert!(cached.age <= Duration::from_secs(5), "{:?}", cached.age);
    let files = std::fs::read_dir(path.0.parent().expect("the file has a parent directory"))
        .expect("the directory is readable")
        .count();
    assert_eq!(files, 1, "no temporary file is left");
}

#[test]
fn a_damaged_file_is_ignored_and_replaced() {
    let path = TemporaryPath::new("damaged");
    path.open(&["loans"]).store("loans", instances());
    let mut bytes = std::fs::read(&path.0).expect("the file was written");
    bytes.truncate(bytes.len() / 2);
    std::fs::write(&path.0, bytes).expect("the truncated file is written");
    let cache = path.open(&["loans"]);
    assert_eq!(cache.cached("loans"), None);
    cache.store("loans", instances());
    assert!(path.open(&["loans"]).cached("loans").is_some());
}
