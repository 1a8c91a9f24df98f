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
/// Rates are parts of so many calls.
pub const RATE_SCALE: u64 = 10_000;
/// The file name of the shared library, beside the programs or the tests that cargo has built.
const LIBRARY_NAME: &str = "libfault_shim.so";

/// What can be set. Rates are parts of [`RATE_SCALE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Setting {
    /// Microseconds that are added to the wall clock, as a signed number.
    ClockOffset = 0,
    /// Rate at which `accept` fails for a moment.
    AcceptFailure,
    /// Rate at which `socket` fails for a moment.
    SocketFailure,
    /// Rate at which `connect` fails at once for a reason of this machine's.
    ConnectFailure,
    /// The port to which alone `connect` fails; 0 for all.
    ConnectFailurePort,
    /// Rate at which a wait, a read or a write is interrupted by a signal.
    Interruption,
    /// Rate at which a read or a write on a socket takes a part only.
    ShortTransfer,
    /// Rate at which a read finds an outbound connection broken.
    BrokenConnection,
    /// Rate at which opening a file for writing fails.
    FileOpenFailure,
    /// Rate at which a write to a file fails.
    FileWriteFailure,
    /// Rate at which a file's sync fails.
    FileSyncFailure,
    /// Rate at which a file cannot be renamed.
    FileRenameFailure,
    /// The first so many calls of `socket` of a process fail.
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

    /// Where the file is, for [`CONTROL_VARIABLE`].
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

    /// Puts the wall clock so many microseconds ahead, or behind where it is negative.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn set_clock_offset(&self, offset_us: i64) -> io::Result<()> {
        self.set(Setting::ClockOffset, offset_us as u64)
    }

    /// Ends all faults but the offset of the clock.
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
