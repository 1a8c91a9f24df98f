//! The configuration file, and what it says of requests and connections.

use crate::error::Error;
use crate::start_retry::with_retries;
use front_resp::{ClassRule, PlanRule, RequestRules};
use policy::{Idempotency, Micros};
use settings::platform::PlatformConfig;
use settings::{KeySet, NumberedClass, Numbering};
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use std::time::Duration;

/// Limit on the file, in bytes.
const MAX_BYTES: u64 = 16 * 1024 * 1024;

/// A configuration file.
pub(super) struct ConfigFile {
    /// What it says.
    pub(super) config: PlatformConfig,
    /// Which keys it has.
    pub(super) keys: KeySet,
}

/// Reads a file.
///
/// # Errors
///
/// It cannot be read or used.
pub(super) fn read(path: &Path) -> Result<ConfigFile, Error> {
    parse(path, read_bytes(path).map_err(Error::file(path))?)
}

/// The same at a start, which a file that cannot be opened for a moment must not end. A reload is not tried again: signals wait
/// meanwhile.
///
/// # Errors
///
/// It cannot be read or used.
pub(super) fn read_at_start(path: &Path) -> Result<ConfigFile, Error> {
    parse(path, with_retries(|| read_bytes(path)).map_err(Error::file(path))?)
}

fn read_bytes(path: &Path) -> io::Result<Vec<u8>> {
    let mut json = Vec::new();
    File::open(path)?.take(MAX_BYTES + 1).read_to_end(&mut json)?;
    Ok(json)
}

fn parse(path: &Path, mut json: Vec<u8>) -> Result<ConfigFile, Error> {
    if json.len() as u64 > MAX_BYTES {
        return Err(Error::FileTooLong { path: path.to_owned(), limit: MAX_BYTES });
    }
    let keys = KeySet::of(&mut json.clone()).map_err(Error::settings(path))?;
    let config = PlatformConfig::parse(&mut json).map_err(Error::settings(path))?;
    Ok(ConfigFile { config, keys })
}

/// What the front requires of requests.
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
        gatekeepers: u64::from(config.settings.gatekeepers),
        max_units: config.max_units,
    }
}

/// Time-outs of connections to backends.
#[derive(Clone, Copy)]
pub(super) struct BackendTimeouts {
    /// For connecting.
    pub(super) connect: Duration,
    /// For an idle connection: half of what the backend grants, so that this side closes first.
    pub(super) idle: Duration,
}

impl BackendTimeouts {
    /// What the configuration says.
    pub(super) fn of(config: &PlatformConfig) -> Self {
        Self {
            connect: Duration::from_micros(config.settings.connect_timeout),
            idle: Duration::from_micros(config.keepalive / 2),
        }
    }
}

/// The longest deadline of all classes, in microseconds.
pub(super) fn longest_deadline_us(config: &PlatformConfig) -> Micros {
    config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0)
}
