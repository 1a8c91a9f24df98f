//! Sockets: temporary failures of calls, short transfers, interrupted calls, and broken connections.

use crate::control::{draw, fail, setting, should_fail};
use crate::descriptors::{Kind, has_kind, set_kind};
use crate::next::Next;
use fault_shim_control::Setting;
use libc::{c_int, c_void, epoll_event, size_t, sockaddr, sockaddr_in, socklen_t, ssize_t};
use std::sync::atomic::{AtomicU64, Ordering};

static SOCKET: Next = Next::new(c"socket");
static CONNECT: Next = Next::new(c"connect");
static ACCEPT4: Next = Next::new(c"accept4");
static RECV: Next = Next::new(c"recv");
static SEND: Next = Next::new(c"send");
static EPOLL_WAIT: Next = Next::new(c"epoll_wait");
static CLOSE: Next = Next::new(c"close");

type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type EpollWait = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
type Close = unsafe extern "C" fn(c_int) -> c_int;

/// Errors that `socket(2)` and `accept(2)` document for a temporary lack of resources.
const SOCKET_ERRORS: [i32; 4] = [libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM];
const ACCEPT_ERRORS: [i32; 6] =
    [libc::ECONNABORTED, libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM, libc::EINTR];
/// Errors that `connect(2)` and `tcp(7)` document for a machine or network that cannot connect.
const CONNECT_ERRORS: [i32; 5] =
    [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS, libc::EHOSTUNREACH, libc::ETIMEDOUT];
/// Errors of a read on a connection that the network has broken.
const BROKEN_ERRORS: [i32; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];

/// Calls of `socket` for TCP over IPv4.
static SOCKETS: AtomicU64 = AtomicU64::new(0);

/// # Safety
///
/// As `socket(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET {
        let is_early = SOCKETS.fetch_add(1, Ordering::Relaxed) < setting(Setting::FirstSocketFailures);
        if is_early || should_fail(Setting::SocketFailure) {
            return fail(&SOCKET_ERRORS);
        }
    }
    // SAFETY: the type is the function's, and the arguments are the caller's.
    let descriptor = unsafe { SOCKET.get::<Socket>()(domain, kind, protocol) };
    set_kind(descriptor, Kind::Other);
    descriptor
}

/// The port of an address of IPv4; 0 for any other.
///
/// # Safety
///
/// The address is as long as it says.
unsafe fn port(address: *const sockaddr, length: socklen_t) -> u16 {
    // SAFETY: an address has its family first, and one of IPv4 has the port behind it.
    unsafe {
        let is_ipv4 =
            length as usize >= size_of::<sockaddr_in>() && i32::from((*address).sa_family) == libc::AF_INET;
        if is_ipv4 { u16::from_be((*address.cast::<sockaddr_in>()).sin_port) } else { 0 }
    }
}

/// # Safety
///
/// As `connect(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: the caller's address.
    let port = unsafe { port(address, length) };
    if port != 0 {
        set_kind(descriptor, Kind::Outbound);
        let only = setting(Setting::ConnectFailurePort);
        if (only == 0 || only == u64::from(port)) && should_fail(Setting::ConnectFailure) {
            return fail(&CONNECT_ERRORS);
        }
    }
    // SAFETY: the type is the function's, and the arguments are the caller's.
    unsafe { CONNECT.get::<Connect>()(descriptor, address, length) }
}

/// # Safety
///
/// As `accept4(2)`.
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
    // SAFETY: the type is the function's, and the arguments are the caller's.
    let descriptor = unsafe { ACCEPT4.get::<Accept4>()(listener, address, length, flags) };
    set_kind(descriptor, Kind::Other);
    descriptor
}

/// The number of bytes that a transfer of this length takes.
fn transfer_length(length: size_t) -> size_t {
    if length > 1 && should_fail(Setting::ShortTransfer) {
        1 + draw() as usize % (length - 1)
    } else {
        length
    }
}

/// # Safety
///
/// As `recv(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(descriptor: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if should_fail(Setting::Interruption) {
        return fail(&[libc::EINTR]) as ssize_t;
    }
    if has_kind(descriptor, Kind::Outbound) && should_fail(Setting::BrokenConnection) {
        // SAFETY: a descriptor of the caller's.
        unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
        return fail(&BROKEN_ERRORS) as ssize_t;
    }
    // SAFETY: the type is the function's, and the arguments are the caller's.
    unsafe { RECV.get::<Recv>()(descriptor, to, transfer_length(length), flags) }
}

/// # Safety
///
/// As `send(2)`.
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
    // SAFETY: the type is the function's, and the arguments are the caller's.
    unsafe { SEND.get::<Send>()(descriptor, from, transfer_length(length), flags) }
}

/// # Safety
///
/// As `epoll_wait(2)`.
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
    // SAFETY: the type is the function's, and the arguments are the caller's.
    unsafe { EPOLL_WAIT.get::<EpollWait>()(descriptor, events, max_events, timeout) }
}

/// # Safety
///
/// As `close(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn close(descriptor: c_int) -> c_int {
    set_kind(descriptor, Kind::Other);
    // SAFETY: the type is the function's, and the arguments are the caller's.
    unsafe { CLOSE.get::<Close>()(descriptor) }
}
