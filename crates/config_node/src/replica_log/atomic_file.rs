//! Atomic replacement of files.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// Extension of the temporary file that holds the new content until it is renamed.
const TEMPORARY_EXTENSION: &str = "new";

/// Replaces a file atomically. The new content is on disk when `replace` returns.
pub(super) fn replace(path: &Path, content: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    let mut file = File::create(&temporary)?;
    file.write_all(content)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    // The rename is durable only once the directory is synchronized.
    path.parent().map_or(Ok(()), |directory| File::open(directory)?.sync_all())
}
