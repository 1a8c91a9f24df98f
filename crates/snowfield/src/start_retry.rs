//! What a start needs of the system is tried again where it fails for a moment: a machine may lack descriptors, memory or an address
//! while others end.

use std::io;
use std::time::{Duration, Instant};

/// A start has 6 s, of which this is tried for the longest.
const MAX_TIME: Duration = Duration::from_secs(4);
/// The first pause, which doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// Does this until it succeeds, fails for good, or has failed for too long.
///
/// # Errors
///
/// Returns the last error.
pub fn with_retries<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let (began, mut pause) = (Instant::now(), FIRST_PAUSE);
    loop {
        match attempt() {
            Err(error) if may_pass(&error) && began.elapsed() < MAX_TIME => {
                std::thread::sleep(pause);
                pause = (2 * pause).min(MAX_PAUSE);
            }
            result => return result,
        }
    }
}

/// Whether an error may pass by itself. An address that is not this machine's or a file that is not there stays so.
fn may_pass(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let passing = [
        Errno::ADDRINUSE,
        Errno::AGAIN,
        Errno::INTR,
        Errno::IO,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
    ];
    error.raw_os_error().is_some_and(|code| passing.iter().any(|errno| errno.raw_os_error() == code))
}
