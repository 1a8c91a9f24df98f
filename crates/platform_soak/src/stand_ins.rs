//! Stand-ins of what gatekeepers speak to, each of which can be made to fail.

mod backend;
mod counter;
mod discovery;

pub use backend::{Backend, BackendMode};
pub use counter::{Counter, CounterMode};
pub use discovery::{Discovery, DiscoveryMode, EndpointList};

use fault_injection::thread::spawn;
use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

/// The system gives ports above these to clients' sockets.
const PORTS: std::ops::Range<u16> = 12_000..30_000;

/// An address on loopback at which nobody listens, and that nobody else is given: gatekeepers share their ports with whoever asks
/// for that. Each process of a harness has a loopback address of its own.
///
/// # Errors
///
/// All ports are taken.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 1 + high % 100, middle, low.max(1));
    let next_port = || PORTS.start + NEXT.fetch_add(1, Ordering::Relaxed) % (PORTS.end - PORTS.start);
    let free = std::iter::repeat_with(next_port).take(PORTS.len()).find_map(|port| {
        let listener = TcpListener::bind((host, port)).ok()?;
        listener.local_addr().ok()
    });
    free.ok_or_else(|| io::Error::other("no free port"))
}

/// Accepts connections in a thread and serves each in a thread of its own.
///
/// # Errors
///
/// The address cannot be listened on.
pub(crate) fn serve(
    address: SocketAddr,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let serve = Arc::new(serve);
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            // Where there is no thread the connection ends, as at a crowded machine.
            let _ = spawn(move || serve(stream));
        }
    })?;
    Ok(())
}

/// Reads and drops what comes until the other side ends, for so long at the most.
pub(crate) fn wait_for_end(stream: &mut TcpStream, time: Duration) {
    let _ = stream.set_read_timeout(Some(time));
    while stream.read(&mut [0; 512]).is_ok_and(|count| count > 0) {}
}

/// Ends a connection with a reset.
pub(crate) fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
