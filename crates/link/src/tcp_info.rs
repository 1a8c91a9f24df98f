//! Statistics of a TCP connection from the kernel (`TCP_INFO` in `tcp(7)`).

use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Maximum plausible queueing time of a request. After a longer time, its client has timed out long ago, or the kernel does not
/// track the time.
const MAX_QUEUEING_TIME: Duration = Duration::from_secs(60);

/// Returns the time since the last bytes arrived; `None` if the kernel does not provide it.
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
    // SAFETY: the struct holds only plain integers and was zeroed.
    let info = unsafe { info.assume_init() };
    let time = Duration::from_millis(info.tcpi_last_data_recv.into());
    (result == 0 && time <= MAX_QUEUEING_TIME).then_some(time)
}
