//! Socket functions, with injected temporary failures, short transfers, interruptions and broken connections.

use crate::control::{draw, fail, setting, should_fail};
use crate::descriptors::{Kind, has_kind, set_kind};
use crate::next::NextSymbol;
use fault_shim_control::Setting;
use libc::{c_int, c_void, epoll_event, size_t, sockaddr, sockaddr_in, socklen_t, ssize_t};
use std::sync::atomic::{AtomicU64, Ordering};

static SOCKET: NextSymbol = NextSymbol::new(c"socket");
static CONNECT: NextSymbol = NextSymbol::new(c"connect");
static ACCEPT4: NextSymbol = NextSymbol::new(c"accept4");
static RECV: NextSymbol = NextSymbol::new(c"recv");
static SEND: NextSymbol = NextSymbol::new(c"send");
static EPOLL_WAIT: NextSymbol = NextSymbol::new(c"epoll_wait");
static CLOSE: NextSymbol = NextSymbol::new(c"close");

type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type EpollWait = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
type Close = unsafe extern "C" fn(c_int) -> c_int;

/// Errors that `socket(2)` documents for a temporary lack of resources.
const SOCKET_ERRORS: [i32; 4] = [libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM];
/// Errors that `accept(2)` documents for a temporary lack of resources, an aborted connection and an interruption.
const ACCEPT_ERRORS: [i32; 6] =
    [libc::ECONNABORTED, libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM, libc::EINTR];
/// Errors that `connect(2)` and `tcp(7)` document if the machine or the network cannot establish a connection.
const CONNECT_ERRORS: [i32; 5] =
    [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS, libc::EHOSTUNREACH, libc::ETIMEDOUT];
/// Errors of a read from a connection that was broken by the network.
const BROKEN_ERRORS: [i32; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];

/// Number of calls of `socket` for IPv4.
static SOCKET_CALLS: AtomicU64 = AtomicU64::new(0);

/// # Safety
///
/// The requirements of `socket(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET {
        let is_initial_failure =
            SOCKET_CALLS.fetch_add(1, Ordering::Relaxed) < setting(Setting::FirstSocketFailures);
        if is_initial_failure || should_fail(Setting::SocketFailure) {
            return fail(&SOCKET_ERRORS);
        }
    }
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    let descriptor = unsafe { SOCKET.get::<Socket>()(domain, kind, protocol) };
    set_kind(descriptor, Kind::Other);
    descriptor
}

/// The port of an IPv4 address; 0 for any other address.
///
/// # Safety
///
/// `address` must point to `length` readable bytes.
unsafe fn port(address: *const sockaddr, length: socklen_t) -> u16 {
    // SAFETY: every socket address begins with its family; the port is read only from an IPv4 address of sufficient length.
    unsafe {
        let is_ipv4 =
            length as usize >= size_of::<sockaddr_in>() && i32::from((*address).sa_family) == libc::AF_INET;
        if is_ipv4 { u16::from_be((*address.cast::<sockaddr_in>()).sin_port) } else { 0 }
    }
}

/// # Safety
///
/// The requirements of `connect(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: the caller guarantees the address and its length.
    let port = unsafe { port(address, length) };
    if port != 0 {
        set_kind(descriptor, Kind::Outbound);
        let failing_port = setting(Setting::ConnectFailurePort);
        if (failing_port == 0 || failing_port == u64::from(port)) && should_fail(Setting::ConnectFailure) {
            return fail(&CONNECT_ERRORS);
        }
    }
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    unsafe { CONNECT.get::<Connect>()(descriptor, address, length) }
}

/// # Safety
///
/// The requirements of `accept4(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if should_fail(Setting::AcceptFailure) {
        return fail(&ACCEPT_ERRORS);
    }
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    let descriptor = unsafe { ACCEPT4.get::<Accept4>()(listener, address, length, flags) };
    set_kind(descriptor, Kind::Other);
    descriptor
}

/// The number of bytes to transfer in a call for `length` bytes; fewer at random, to inject a short transfer.
fn transfer_length(length: size_t) -> size_t {
    if length > 1 && should_fail(Setting::ShortTransfer) {
        1 + draw() as usize % (length - 1)
    } else {
        length
    }
}

/// # Safety
///
/// The requirements of `recv(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(descriptor: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if should_fail(Setting::Interruption) {
        return fail(&[libc::EINTR]) as ssize_t;
    }
    if has_kind(descriptor, Kind::Outbound) && should_fail(Setting::BrokenConnection) {
        // SAFETY: the descriptor is the caller's, and `shutdown` takes no pointers.
        unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
        return fail(&BROKEN_ERRORS) as ssize_t;
    }
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    unsafe { RECV.get::<Recv>()(descriptor, to, transfer_length(length), flags) }
}

/// # Safety
///
/// The requirements of `send(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    from: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if should_fail(Setting::Interruption) {
        return fail(&[libc::EINTR]) as ssize_t;
    }
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    unsafe { SEND.get::<Send>()(descriptor, from, transfer_length(length), flags) }
}

/// # Safety
///
/// The requirements of `epoll_wait(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    descriptor: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if should_fail(Setting::Interruption) {
        return fail(&[libc::EINTR]);
    }
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    unsafe { EPOLL_WAIT.get::<EpollWait>()(descriptor, events, max_events, timeout) }
}

/// # Safety
///
/// The requirements of `close(2)` apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn close(descriptor: c_int) -> c_int {
    set_kind(descriptor, Kind::Other);
    // SAFETY: the type is that of the C function, and the caller guarantees the arguments.
    unsafe { CLOSE.get::<Close>()(descriptor) }
}
