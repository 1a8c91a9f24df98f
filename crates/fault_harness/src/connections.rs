//! Accepts the connections of stand-ins and links, and ends them or stays silent on them.

use crate::thread::spawn;
use rustix::net::sockopt::set_socket_linger;
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Listens at `address`, accepts connections in a thread, and serves each in a thread of its own. Returns the address of the
/// listener, which differs from `address` if that has port 0.
///
/// # Errors
///
/// The address cannot be listened on.
pub fn serve_connections(
    address: SocketAddr,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            // If no thread can be created, the connection is closed, as an overloaded server would do.
            let _ = spawn(move || serve(stream));
        }
    })?;
    Ok(address)
}

/// Reads and discards what arrives until the peer closes the connection.
pub fn discard_input(stream: &mut TcpStream) {
    while stream.read(&mut [0; 512]).is_ok_and(|count| count > 0) {}
}

/// Like [`discard_input`], but returns once nothing has arrived for `timeout`.
pub fn discard_input_for(stream: &mut TcpStream, timeout: Duration) {
    let _ = stream.set_read_timeout(Some(timeout));
    discard_input(stream);
}

/// Makes the connection end with a reset (RST) instead of an orderly close once all its handles are dropped or shut down.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

/// Whether a read may be tried again: its timeout has elapsed, or a signal interrupted it.
pub fn is_temporary(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
