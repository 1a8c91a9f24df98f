//! Statistics that the kernel keeps of a TCP connection (`TCP_INFO` in `tcp(7)`).

use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// A longer time is no queueing time of a request: its client has timed out long ago, or the kernel does not track the figure.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Returns how long ago the last bytes arrived, where the kernel tells.
#[allow(unsafe_code)] // No safe wrapper of TCP_INFO is among the dependencies.
pub(crate) fn time_since_last_data(stream: &TcpStream) -> Option<Duration> {
    let mut info = std::mem::MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open, and the kernel writes at most `length` bytes into `info`, which has that size.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    // SAFETY: the struct holds plain integers alone and was zeroed.
    let info = unsafe { info.assume_init() };
    let time = Duration::from_millis(info.tcpi_last_data_recv.into());
    (result == 0 && time <= MAX_WAIT).then_some(time)
}
