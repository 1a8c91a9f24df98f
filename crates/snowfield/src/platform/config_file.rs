//! The platform's configuration file: reading it, and deriving the request rules and timeouts from it.

use crate::error::Error;
use crate::start_retry::with_retries;
use front_resp::{ClassRule, PlanRule, RequestRules};
use policy::Idempotency;
use settings::platform::PlatformConfig;
use settings::{KeySet, NumberedClass, Numbering};
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use std::time::Duration;

/// Maximum size of the file in bytes.
const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// A parsed configuration file.
pub(super) struct ConfigFile {
    /// The settings of the file.
    pub(super) config: PlatformConfig,
    /// The keys that the file sets. A reload is rejected if the new file lacks one of these keys.
    pub(super) keys: KeySet,
}

/// Reads and parses a file.
///
/// # Errors
///
/// The file cannot be read, is too long, or holds no valid configuration.
pub(super) fn read(path: &Path) -> Result<ConfigFile, Error> {
    parse(path, read_bytes(path).map_err(Error::file(path))?)
}

/// Like [`read`], but retries transient errors of the system, so that they do not make a start fail. A reload does not retry,
/// since further signals would have to wait.
///
/// # Errors
///
/// As [`read`].
pub(super) fn read_at_start(path: &Path) -> Result<ConfigFile, Error> {
    parse(path, with_retries(|| read_bytes(path)).map_err(Error::file(path))?)
}

fn read_bytes(path: &Path) -> io::Result<Vec<u8>> {
    let mut json = Vec::new();
    File::open(path)?.take(MAX_FILE_BYTES + 1).read_to_end(&mut json)?;
    Ok(json)
}

fn parse(path: &Path, mut json: Vec<u8>) -> Result<ConfigFile, Error> {
    if json.len() as u64 > MAX_FILE_BYTES {
        return Err(Error::FileTooLong { path: path.to_owned(), limit: MAX_FILE_BYTES });
    }
    let keys = KeySet::of(&mut json.clone()).map_err(Error::settings(path))?;
    let config = PlatformConfig::parse(&mut json).map_err(Error::settings(path))?;
    Ok(ConfigFile { config, keys })
}

/// The rules by which the front checks requests.
pub(super) fn request_rules(config: &PlatformConfig, numbering: &Numbering) -> RequestRules {
    let class_rule = |NumberedClass { number, name, class }: NumberedClass<'_>| ClassRule {
        name: name.to_owned(),
        number: number as u16,
        is_idempotent: class.idempotency == Idempotency::Idempotent,
        deadline_ms: class.deadline.div_ceil(1000),
    };
    RequestRules {
        classes: numbering.classes().map(class_rule).collect(),
        plans: numbering
            .plans()
            .map(|plan| PlanRule { name: plan.name.to_owned(), number: plan.number as u32 })
            .collect(),
        gatekeeper_count: u64::from(config.settings.gatekeepers),
        max_units: config.max_units,
    }
}

/// Timeouts of connections to backends.
#[derive(Clone, Copy)]
pub(super) struct BackendTimeouts {
    /// Timeout for connecting to a backend.
    pub(super) connect: Duration,
    /// Time after which an idle connection is closed: half of the backend's keep-alive time, so that the gatekeeper closes before
    /// the backend does.
    pub(super) idle: Duration,
}

impl BackendTimeouts {
    /// Derives the timeouts from the platform's configuration.
    pub(super) fn from_config(config: &PlatformConfig) -> Self {
        Self {
            connect: Duration::from_micros(config.settings.connect_timeout),
            idle: Duration::from_micros(config.keepalive / 2),
        }
    }
}

/// Returns the longest deadline of all classes.
pub(super) fn longest_deadline(config: &PlatformConfig) -> Duration {
    let deadlines = config.settings.classes.iter().map(|class| class.deadline);
    Duration::from_micros(deadlines.max().unwrap_or(0))
}
