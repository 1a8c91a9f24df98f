//! What the system knows of a TCP connection (`TCP_INFO` of `tcp(7)`).

use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// A time beyond this is no wait of a request: its client has given up long ago, or the system has no such figure.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// How long ago the last bytes arrived; none where the system does not tell.
#[allow(unsafe_code)] // No library that is here has this call.
pub(crate) fn time_since_last_data(stream: &TcpStream) -> Option<Duration> {
    let mut info = std::mem::MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open, and the system writes at most `length` bytes, which are there.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    // SAFETY: plain numbers, which were zero before the system wrote to them.
    let info = unsafe { info.assume_init() };
    let time = Duration::from_millis(info.tcpi_last_data_recv.into());
    (result == 0 && time <= MAX_WAIT).then_some(time)
}
