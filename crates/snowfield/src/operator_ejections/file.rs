//! The file with the ids of the backends that operators have ejected. A process that starts without a predecessor reads it.

use std::fs;
use std::io::{self, ErrorKind, Read};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "snowfield.held";
/// Name and version of the format. The first line consists of them and the number of ids; each further line is an id.
const FORMAT: &str = "snowfield held 1";
/// Maximum size of the file in bytes. The rest of a longer file is not read.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Why the file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum EjectionsFileError {
    /// The file could not be read, or is not UTF-8.
    #[error("{0}")]
    Read(#[from] io::Error),
    /// The file is truncated within its first line.
    #[error("the file has no complete first line")]
    NoFirstLine,
    /// The file has another format or version, or states no number of ids.
    #[error("the first line of the file names an unknown format or version")]
    UnknownFormat,
    /// The file is truncated or was altered.
    #[error("the file is truncated or altered: {found} of {expected} ids")]
    MissingIds {
        /// Number of ids in the file. The last one may be truncated.
        found: usize,
        /// Number of ids that the first line states.
        expected: usize,
    },
}

fn path(directory: &Path) -> PathBuf {
    directory.join(FILE_NAME)
}

/// Replaces the file atomically by one with these ids.
///
/// # Errors
///
/// The directory is not writable. The file is unchanged.
pub fn write<'a>(directory: &Path, ids: impl Iterator<Item = &'a str>) -> io::Result<()> {
    let ids: Vec<&str> = ids.collect();
    let lines: String = ids.iter().map(|id| format!("{id}\n")).collect();
    let temporary = directory.join(format!("{FILE_NAME}.{}", std::process::id()));
    fs::write(&temporary, format!("{FORMAT} {}\n{lines}", ids.len()))?;
    fs::rename(&temporary, path(directory))
}

/// Reads the ids in the file; returns no ids if the file does not exist.
///
/// # Errors
///
/// The file cannot be read, or is damaged.
pub fn read(directory: &Path) -> Result<Vec<String>, EjectionsFileError> {
    let mut text = String::new();
    match fs::File::open(path(directory)) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
        file => file?.take(MAX_FILE_BYTES).read_to_string(&mut text)?,
    };
    let (first_line, rest) = text.split_once('\n').ok_or(EjectionsFileError::NoFirstLine)?;
    let expected = first_line.strip_prefix(FORMAT).and_then(|count| count.trim().parse::<usize>().ok());
    let expected = expected.ok_or(EjectionsFileError::UnknownFormat)?;
    let ids: Vec<String> = rest.lines().map(str::to_owned).collect();
    let is_truncated = !rest.is_empty() && !rest.ends_with('\n');
    if ids.len() != expected || is_truncated {
        return Err(EjectionsFileError::MissingIds { found: ids.len(), expected });
    }
    Ok(ids)
}

#[cfg(test)]
mod tests;
