//! File functions, with injected failures to open for writing, to write, to sync and to rename.

use crate::control::{fail, should_fail};
use crate::descriptors::{Kind, has_kind, set_kind};
use crate::next::NextSymbol;
use fault_shim_control::Setting;
use libc::{c_char, c_int, c_void, mode_t, size_t, ssize_t};

static OPEN64: NextSymbol = NextSymbol::new(c"open64");
static WRITE: NextSymbol = NextSymbol::new(c"write");
static FSYNC: NextSymbol = NextSymbol::new(c"fsync");
static FDATASYNC: NextSymbol = NextSymbol::new(c"fdatasync");
static RENAME: NextSymbol = NextSymbol::new(c"rename");

type Open = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;
type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
type Sync = unsafe extern "C" fn(c_int) -> c_int;
type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;

/// Errors of a full disk and of a defective disk.
const DISK_ERRORS: [i32; 2] = [libc::ENOSPC, libc::EIO];

/// # Safety
///
/// The requirements of `open(2)` apply. The variadic `mode` is passed on in any case; the C library ignores it unless `flags`
/// require a mode.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let is_written = flags & libc::O_ACCMODE != libc::O_RDONLY;
    if is_written && should_fail(Setting::FileOpenFailure) {
        return fail(&DISK_ERRORS);
    }
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    let descriptor = unsafe { OPEN64.get::<Open>()(path, flags, mode) };
    set_kind(descriptor, if is_written { Kind::WrittenFile } else { Kind::Other });
    descriptor
}

/// # Safety
///
/// The requirements of `write(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, from: *const c_void, length: size_t) -> ssize_t {
    if has_kind(descriptor, Kind::WrittenFile) && should_fail(Setting::FileWriteFailure) {
        return fail(&DISK_ERRORS) as ssize_t;
    }
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    unsafe { WRITE.get::<Write>()(descriptor, from, length) }
}

/// # Safety
///
/// The requirements of `fsync(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if should_fail(Setting::FileSyncFailure) {
        return fail(&DISK_ERRORS);
    }
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    unsafe { FSYNC.get::<Sync>()(descriptor) }
}

/// # Safety
///
/// The requirements of `fdatasync(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if should_fail(Setting::FileSyncFailure) {
        return fail(&DISK_ERRORS);
    }
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    unsafe { FDATASYNC.get::<Sync>()(descriptor) }
}

/// # Safety
///
/// The requirements of `rename(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if should_fail(Setting::FileRenameFailure) {
        return fail(&DISK_ERRORS);
    }
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    unsafe { RENAME.get::<Rename>()(from, to) }
}
