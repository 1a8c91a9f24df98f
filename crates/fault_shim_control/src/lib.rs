//! The control block of the preloaded fault shim: a small file that the harness writes and that each process under test maps.
//!
//! The file is an array of 64-bit numbers in native byte order, one for each [`Setting`]. The harness may change it at any time;
//! a process applies the change from its next call on. This package contains no interposed functions, so that a harness can link
//! it.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The environment variable that lists the libraries to preload (`ld.so(8)`).
pub const PRELOAD_VARIABLE: &str = "LD_PRELOAD";
/// The environment variable with the path of the control block, which the shim reads.
pub const CONTROL_VARIABLE: &str = "FAULT_SHIM_CONTROL";
/// Size of the control block in bytes.
pub const CONTROL_BYTES: usize = 4096;
/// Denominator of the failure rates: a call with this rate always fails.
pub const RATE_SCALE: u64 = 10_000;
/// File name of the shared library as cargo builds it.
const LIBRARY_NAME: &str = "libfault_shim.so";

/// The settings of a control block, all 0 at first. A rate is the number of failing calls among [`RATE_SCALE`] calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Setting {
    /// Offset of the wall clock in microseconds, as an `i64`.
    ClockOffset = 0,
    /// Rate of temporary failures of `accept`.
    AcceptFailure,
    /// Rate of temporary failures of `socket`.
    SocketFailure,
    /// Rate of immediate local failures of `connect`.
    ConnectFailure,
    /// The only port to which `connect` fails; 0 for all ports.
    ConnectFailurePort,
    /// Rate of waits, and of reads and writes on sockets, that fail with `EINTR`.
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
    /// Number of calls of `socket` for IPv4 that fail at the start of a process.
    FirstSocketFailures,
}

/// The file of a control block, which one or several processes map.
#[derive(Debug)]
pub struct Control {
    path: PathBuf,
    file: File,
}

impl Control {
    /// Creates the file with all settings 0, so that no fault is injected.
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

    /// The environment variables that make a process preload the shim from this path and map this control block.
    pub fn environment(&self, library: &Path) -> [(&'static str, String); 2] {
        [
            (PRELOAD_VARIABLE, library.display().to_string()),
            (CONTROL_VARIABLE, self.path.display().to_string()),
        ]
    }

    /// Changes a setting, also for running processes.
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

    /// Resets all settings except the offset of the wall clock to 0.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn clear_faults(&self) -> io::Result<()> {
        let first = size_of::<u64>();
        self.file.write_all_at(&[0; CONTROL_BYTES][first..], first as u64)
    }
}

/// Path of the shared library, which cargo puts in the directory of the calling program or, for tests, in its parent directory.
/// `None` if the library has not been built.
pub fn library_path() -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    let directories =
        program.parent().into_iter().flat_map(|directory| [Some(directory), directory.parent()]);
    directories.flatten().map(|directory| directory.join(LIBRARY_NAME)).find(|path| path.exists())
}
