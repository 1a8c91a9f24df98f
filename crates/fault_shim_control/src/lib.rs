//! The control block of the preloaded fault shim: a small file that the harness writes and that each process under test maps.
//!
//! It is an array of 64-bit numbers, one for each [`Setting`]. The harness may change it at any time; a process sees the change at
//! its next call. This package holds no interposed function, so that a harness may link it.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The environment variable that names libraries to preload (ld.so(8)).
pub const PRELOAD_VARIABLE: &str = "LD_PRELOAD";
/// The environment variable that names the file to a process.
pub const CONTROL_VARIABLE: &str = "FAULT_SHIM_CONTROL";
/// Bytes of the file.
pub const CONTROL_BYTES: usize = 4096;
/// Rates are out of this many calls.
pub const RATE_SCALE: u64 = 10_000;
/// The file name of the shared library, beside the programs or the tests that cargo has built.
const LIBRARY_NAME: &str = "libfault_shim.so";

/// The settings of a control block. Rates are out of [`RATE_SCALE`] calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Setting {
    /// Offset of the wall clock in microseconds, as a signed number.
    ClockOffset = 0,
    /// Rate of temporary failures of `accept`.
    AcceptFailure,
    /// Rate of temporary failures of `socket`.
    SocketFailure,
    /// Rate of immediate local failures of `connect`.
    ConnectFailure,
    /// The only port to which `connect` fails; 0 for all ports.
    ConnectFailurePort,
    /// Rate of waits, reads and writes that are interrupted by a signal.
    Interruption,
    /// Rate of short reads and writes on sockets.
    ShortTransfer,
    /// Rate of reads that find an outbound connection broken.
    BrokenConnection,
    /// Rate of failures to open a file for writing.
    FileOpenFailure,
    /// Rate of failed writes to files.
    FileWriteFailure,
    /// Rate of failed syncs of files.
    FileSyncFailure,
    /// Rate of failed renames of files.
    FileRenameFailure,
    /// Number of calls of `socket` that fail at the start of a process.
    FirstSocketFailures,
}

/// The control block of one process, or of several that share it.
#[derive(Debug)]
pub struct Control {
    path: PathBuf,
    file: File,
}

impl Control {
    /// Creates the file, with no fault set.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(CONTROL_BYTES as u64)?;
        Ok(Self { path: path.to_owned(), file })
    }

    /// The path of the file, for [`CONTROL_VARIABLE`].
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The environment of a process that preloads the shim and reads this control block.
    pub fn environment(&self, library: &Path) -> [(&'static str, String); 2] {
        [
            (PRELOAD_VARIABLE, library.display().to_string()),
            (CONTROL_VARIABLE, self.path.display().to_string()),
        ]
    }

    /// Changes a setting.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn set(&self, setting: Setting, value: u64) -> io::Result<()> {
        let offset = setting as usize * size_of::<u64>();
        self.file.write_all_at(&value.to_ne_bytes(), offset as u64)
    }

    /// Sets the offset of the wall clock in microseconds.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn set_clock_offset(&self, offset_us: i64) -> io::Result<()> {
        self.set(Setting::ClockOffset, offset_us as u64)
    }

    /// Resets all settings but the offset of the wall clock.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn clear_faults(&self) -> io::Result<()> {
        let first = size_of::<u64>();
        self.file.write_all_at(&[0; CONTROL_BYTES][first..], first as u64)
    }
}

/// The shared library, beside the program that calls this, or in the directory above where cargo puts what tests depend on.
pub fn library_path() -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    let directories =
        program.parent().into_iter().flat_map(|directory| [Some(directory), directory.parent()]);
    directories.flatten().map(|directory| directory.join(LIBRARY_NAME)).find(|path| path.exists())
}
