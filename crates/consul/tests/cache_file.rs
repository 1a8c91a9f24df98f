//! The cached endpoint list on disk: what is written when, and what is read at a start.

use catalogue::{HealthStatus, Instance};
use consul::CacheFile;
use std::path::PathBuf;

const MAX_AGE_SECONDS: u64 = 60;

/// A path in a folder of its own, which is removed at the end.
struct TemporaryPath(PathBuf);

impl TemporaryPath {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("snowfield-cache-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Self(folder.join("endpoints.list"))
    }

    fn open(&self, services: &[&str]) -> CacheFile {
        let services = services.iter().map(|&service| service.to_owned());
        CacheFile::open(self.0.clone(), MAX_AGE_SECONDS, services)
    }
}

impl Drop for TemporaryPath {
    fn drop(&mut self) {
        let folder = self.0.parent().expect("a folder");
        // A folder that stays does no harm.
        let _ = std::fs::remove_dir_all(folder);
    }
}

fn instances() -> Vec<Instance> {
    let address = "127.0.0.1:80".parse().expect("an address");
    let health = HealthStatus::Passing;
    vec![Instance { id: "n/x".into(), address, health, weight: 1.0, started_at: None }]
}

#[test]
fn is_written_once_all_services_have_a_response_and_read_at_the_next_start() {
    let path = TemporaryPath::new("written");
    let cache = path.open(&["loans", "rates"]);
    assert_eq!(cache.cached("loans"), None);
    cache.store("loans", instances());
    assert!(!path.0.exists(), "it would hold no list of the other service");
    cache.store("rates", Vec::new());
    let cached = path.open(&["loans", "rates"]).cached("loans").expect("it was written");
    assert_eq!(cached.instances, instances());
    assert!(cached.age_seconds <= 5, "{}", cached.age_seconds);
    let files = std::fs::read_dir(path.0.parent().expect("a folder")).expect("the folder").count();
    assert_eq!(files, 1, "no temporary file is left");
}

#[test]
fn is_not_used_when_damaged_and_written_again() {
    let path = TemporaryPath::new("damaged");
    path.open(&["loans"]).store("loans", instances());
    let mut bytes = std::fs::read(&path.0).expect("it was written");
    bytes.truncate(bytes.len() / 2);
    std::fs::write(&path.0, bytes).expect("it is damaged");
    let cache = path.open(&["loans"]);
    assert_eq!(cache.cached("loans"), None);
    cache.store("loans", instances());
    assert!(path.open(&["loans"]).cached("loans").is_some());
}
