//! The file with the backends that operators have ejected, for a process that starts after this one without hearing from it.

use std::fs;
use std::io::{self, ErrorKind, Read};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "snowfield.held";
/// Start of the first line, before the number of ids. A file in another format is not read.
const FORMAT: &str = "snowfield held 1";
/// Limit on the bytes that are read.
const MAX_BYTES: u64 = 1 << 20;

/// Why the file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum EjectionsFileError {
    /// It could not be read.
    #[error("{0}")]
    Read(#[from] io::Error),
    /// It is cut within its first line.
    #[error("it has no first line")]
    NoFirstLine,
    /// It was written in another format.
    #[error("it is of another form")]
    UnknownFormat,
    /// It is cut, or was altered.
    #[error("{found} of {expected} ids are there")]
    MissingIds {
        /// Ids in the file.
        found: usize,
        /// Ids that its first line names.
        expected: usize,
    },
}

fn path(directory: &Path) -> PathBuf {
    directory.join(FILE_NAME)
}

/// Replaces the file with one that has these ids.
///
/// # Errors
///
/// The directory cannot be written; the file is unchanged then.
pub fn write<'a>(directory: &Path, ids: impl Iterator<Item = &'a str>) -> io::Result<()> {
    let ids: Vec<&str> = ids.collect();
    let lines: String = ids.iter().map(|id| format!("{id}\n")).collect();
    let temporary = directory.join(format!("{FILE_NAME}.{}", std::process::id()));
    fs::write(&temporary, format!("{FORMAT} {}\n{lines}", ids.len()))?;
    fs::rename(&temporary, path(directory))
}

/// The ids in the file; none where there is no file.
///
/// # Errors
///
/// The file cannot be used.
pub fn read(directory: &Path) -> Result<Vec<String>, EjectionsFileError> {
    let mut text = String::new();
    match fs::File::open(path(directory)) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
        file => file?.take(MAX_BYTES).read_to_string(&mut text)?,
    };
    let (head, rest) = text.split_once('\n').ok_or(EjectionsFileError::NoFirstLine)?;
    let expected = head.strip_prefix(FORMAT).and_then(|count| count.trim().parse::<usize>().ok());
    let expected = expected.ok_or(EjectionsFileError::UnknownFormat)?;
    let ids: Vec<String> = rest.lines().map(str::to_owned).collect();
    if ids.len() != expected || !rest.is_empty() && !rest.ends_with('\n') {
        return Err(EjectionsFileError::MissingIds { found: ids.len(), expected });
    }
    Ok(ids)
}

#[cfg(test)]
mod tests;
