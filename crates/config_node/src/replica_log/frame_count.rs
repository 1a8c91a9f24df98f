//! The number of frames that were written to a log, in a second file beside the log.

use super::{atomic_file, frame};
use crate::error::Error;
use std::io;
use std::path::{Path, PathBuf};

/// Extension of the file that holds the frame count.
const EXTENSION: &str = "count";

/// Returns the path of the file that holds the frame count of the log at the path `log`.
pub(super) fn path(log: &Path) -> PathBuf {
    log.with_extension(EXTENSION)
}

/// Reads the frame count of this log.
pub(super) fn read(log: &Path) -> Result<u64, Error> {
    let path = path(log);
    let content = std::fs::read(&path).map_err(Error::file(&path))?;
    decode(&content).ok_or(Error::DamagedFrameCount { path })
}

/// Replaces the frame count of this log.
pub(super) fn write(log: &Path, frame_count: u64) -> io::Result<()> {
    atomic_file::replace(&path(log), &encode(frame_count))
}

pub(super) fn encode(frame_count: u64) -> Vec<u8> {
    [&frame::FORMAT[..], &frame::encode(0, &frame_count.to_le_bytes())].concat()
}

fn decode(content: &[u8]) -> Option<u64> {
    match frame::decode_all(content)?[..] {
        [count] => Some(u64::from_le_bytes(count.try_into().ok()?)),
        _ => None,
    }
}
