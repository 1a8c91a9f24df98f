//! Retries with exponential backoff for system calls during the start. A system call may fail transiently, while other
//! processes hold the last descriptors, the memory or the address.

use crate::backoff::ExponentialBackoff;
use rustix::io::Errno;
use std::io;
use std::time::{Duration, Instant};

/// Time after the first attempt during which retries may start. The whole start must complete within 6 s.
const RETRY_TIMEOUT: Duration = Duration::from_secs(4);
/// Backoff before the first retry.
const MIN_BACKOFF: Duration = Duration::from_millis(5);
/// Maximum backoff between two retries.
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// Calls `attempt` until it succeeds or returns a permanent error, for up to [`RETRY_TIMEOUT`].
///
/// # Errors
///
/// The error of the last attempt.
pub fn with_retries<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    let mut backoff = ExponentialBackoff::new(MIN_BACKOFF, MAX_BACKOFF);
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && started.elapsed() < RETRY_TIMEOUT => {
                backoff.sleep();
            }
            result => return result,
        }
    }
}

/// Whether a later attempt may succeed. A missing file or an address of another machine, for instance, is a permanent error.
fn is_transient(error: &io::Error) -> bool {
    let transient = [
        Errno::ADDRINUSE,
        Errno::AGAIN,
        Errno::INTR,
        Errno::IO,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
    ];
    error.raw_os_error().is_some_and(|code| transient.iter().any(|errno| errno.raw_os_error() == code))
}
