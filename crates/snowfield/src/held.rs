//! The file that keeps which loan servers are out by hand, for a program that starts after this one without hearing from it.

use std::fs;
use std::io::{self, ErrorKind, Read};
use std::path::{Path, PathBuf};

/// The first line of the file, before the number of ids: another form is not read.
const FORM: &str = "snowfield held 1";
/// The most bytes of a file that is read.
const LARGEST: u64 = 1 << 20;

fn path(folder: &Path) -> PathBuf {
    folder.join("snowfield.held")
}

/// Replaces the file whole.
///
/// # Errors
///
/// Passes on what the system says; the file is as it was.
pub fn write<'a>(folder: &Path, ids: impl Iterator<Item = &'a str>) -> io::Result<()> {
    let ids: Vec<&str> = ids.collect();
    let lines: String = ids.iter().map(|id| format!("{id}\n")).collect();
    let beside = folder.join(format!("snowfield.held.{}", std::process::id()));
    fs::write(&beside, format!("{FORM} {}\n{lines}", ids.len()))?;
    fs::rename(&beside, path(folder))
}

/// The ids in the file; none where there is no file.
///
/// # Errors
///
/// The text says why the file cannot be used.
pub fn read(folder: &Path) -> Result<Vec<String>, String> {
    let mut text = String::new();
    match fs::File::open(path(folder)) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
        file => {
            file.and_then(|file| file.take(LARGEST).read_to_string(&mut text)).map_err(|e| e.to_string())?
        }
    };
    let (head, rest) = text.split_once('\n').ok_or("it has no first line")?;
    let count = head.strip_prefix(FORM).and_then(|n| n.trim().parse::<usize>().ok());
    let count = count.ok_or("it is of another form")?;
    let ids: Vec<String> = rest.lines().map(str::to_owned).collect();
    if ids.len() != count || !rest.is_empty() && !rest.ends_with('\n') {
        return Err(format!("{} of {count} ids are there", ids.len()));
    }
    Ok(ids)
}

#[cfg(test)]
mod tests;
