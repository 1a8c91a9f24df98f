//! Functions that read the wall clock, shifted by the offset of the control block.

use crate::control::setting;
use crate::next::NextSymbol;
use fault_shim_control::Setting;
use libc::{c_int, clockid_t, time_t, timespec, timeval};

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1_000;

static CLOCK_GETTIME: NextSymbol = NextSymbol::new(c"clock_gettime");
static GETTIMEOFDAY: NextSymbol = NextSymbol::new(c"gettimeofday");

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
type Gettimeofday = unsafe extern "C" fn(*mut timeval, *mut libc::c_void) -> c_int;

/// The current offset of the wall clock in microseconds.
fn offset() -> i64 {
    setting(Setting::ClockOffset) as i64
}

/// Adds the offset to a time. Returns whole seconds, and microseconds from 0 up to a second.
fn add_offset(seconds: i64, micros: i64) -> (i64, i64) {
    let sum = seconds * MICROS_PER_SECOND + micros + offset();
    (sum.div_euclid(MICROS_PER_SECOND), sum.rem_euclid(MICROS_PER_SECOND))
}

/// # Safety
///
/// The requirements of `clock_gettime(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    let result = unsafe { CLOCK_GETTIME.get::<ClockGettime>()(clock, time) };
    let is_wall_clock = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if result == 0 && is_wall_clock && offset() != 0 {
        // SAFETY: the successful call has filled the structure in.
        let time = unsafe { &mut *time };
        let (seconds, micros) = add_offset(time.tv_sec, time.tv_nsec / NANOS_PER_MICRO);
        time.tv_sec = seconds;
        time.tv_nsec = micros * NANOS_PER_MICRO + time.tv_nsec % NANOS_PER_MICRO;
    }
    result
}

/// # Safety
///
/// The requirements of `gettimeofday(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn gettimeofday(time: *mut timeval, zone: *mut libc::c_void) -> c_int {
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    let result = unsafe { GETTIMEOFDAY.get::<Gettimeofday>()(time, zone) };
    if result == 0 && !time.is_null() {
        // SAFETY: the successful call has filled the structure in.
        let time = unsafe { &mut *time };
        (time.tv_sec, time.tv_usec) = add_offset(time.tv_sec, time.tv_usec);
    }
    result
}

/// # Safety
///
/// The requirements of `time(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn time(result: *mut time_t) -> time_t {
    let mut now = timeval { tv_sec: 0, tv_usec: 0 };
    // SAFETY: the pointer is valid, and the time zone may be null.
    unsafe { gettimeofday(&raw mut now, std::ptr::null_mut()) };
    if !result.is_null() {
        // SAFETY: the caller guarantees the pointer unless it is null.
        unsafe { *result = now.tv_sec };
    }
    now.tv_sec
}
