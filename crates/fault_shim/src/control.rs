//! The control block, mapped into this process, and random failures at its rates.

use fault_shim_control::{CONTROL_BYTES, CONTROL_VARIABLE, RATE_SCALE, Setting};
use std::ffi::CString;
use std::ptr::null_mut;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// The mapped control block; `None` if the process was started without one or it cannot be mapped.
static CONTROL_BLOCK: OnceLock<Option<&'static [AtomicU64]>> = OnceLock::new();
/// Number of random numbers drawn since the start.
static DRAW_COUNT: AtomicU64 = AtomicU64::new(0);

fn map_block() -> Option<&'static [AtomicU64]> {
    let path = CString::new(std::env::var(CONTROL_VARIABLE).ok()?).ok()?;
    // SAFETY: the path ends in a zero byte. The mapping lives as long as the process, this process never writes to it, and its
    // length and alignment are those of the slice.
    unsafe {
        let descriptor =
            libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDONLY) as i32;
        if descriptor < 0 {
            return None;
        }
        let block = libc::mmap(null_mut(), CONTROL_BYTES, libc::PROT_READ, libc::MAP_SHARED, descriptor, 0);
        libc::syscall(libc::SYS_close, descriptor);
        if block == libc::MAP_FAILED {
            return None;
        }
        Some(std::slice::from_raw_parts(block.cast::<AtomicU64>(), CONTROL_BYTES / size_of::<AtomicU64>()))
    }
}

/// The current value of a setting; 0 without a control block.
pub(crate) fn setting(setting: Setting) -> u64 {
    let block = CONTROL_BLOCK.get_or_init(map_block);
    block.map_or(0, |block| block[setting as usize].load(Ordering::Relaxed))
}

/// A new pseudo-random number for each call: the finaliser of SplitMix64, applied to the process id and a counter.
pub(crate) fn draw() -> u64 {
    let seed = u64::from(std::process::id()) << 32;
    let value = (seed ^ DRAW_COUNT.fetch_add(1, Ordering::Relaxed)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Decides at random whether a call with this failure rate fails.
pub(crate) fn should_fail(rate: Setting) -> bool {
    let rate = setting(rate);
    rate > 0 && draw() % RATE_SCALE < rate
}

/// Sets `errno` to one of these errors, drawn at random, and returns the -1 of a failed call.
pub(crate) fn fail(errors: &[i32]) -> i32 {
    let error = errors[(draw() % errors.len() as u64) as usize];
    // SAFETY: the location is the `errno` of this thread.
    unsafe { *libc::__errno_location() = error };
    -1
}
