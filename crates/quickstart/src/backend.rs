//! A stand-in backend over HTTP/1.1. It answers each request with its path and the backend's id.

use http::{BodyReader, HttpError, RequestHead, parse_request_head};
use serde_json::json;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Connections beyond this number are closed at once.
const MAX_CONNECTIONS: usize = 64;
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The time without a request after which a connection is closed. It is longer than the gatekeeper keeps an idle connection to a
/// backend (15 s by default).
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of bytes read from a connection at once.
const READ_BYTES: usize = 4 * 1024;

/// A backend that listens on loopback until the process ends.
#[derive(Debug)]
pub struct Backend {
    /// The loopback address and port at which the backend listens.
    pub address: SocketAddr,
}

impl Backend {
    /// Starts a backend on a free port. One thread accepts connections, and each connection has a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails if no port on loopback can be bound.
    pub fn start(id: &'static str) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        thread::spawn(move || accept(&listener, id));
        Ok(Self { address })
    }
}

fn accept(listener: &TcpListener, id: &'static str) {
    let connections = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming().map_while(Result::ok) {
        if connections.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
            connections.fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        let connections = connections.clone();
        thread::spawn(move || {
            // An error is ignored. It closes this connection only, and the gatekeeper then opens another one.
            let _ = serve(stream, id);
            connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Answers the requests of one connection one after the other, until the client closes it.
fn serve(mut stream: TcpStream, id: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    let mut buffer = Vec::new();
    while let Some(path) = read_request(&mut stream, &mut buffer)? {
        stream.write_all(answer(id, &path).as_bytes())?;
    }
    Ok(())
}

fn answer(id: &str, path: &str) -> String {
    let body = json!({"path": path, "served_by": id}).to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads one request and returns its path; `None` if the client closes the connection before the end of the request.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    let head = loop {
        if let Some(head) = parse_request_head(buffer).map_err(invalid_request)? {
            break head;
        }
        if !read_more(stream, buffer)? {
            return Ok(None);
        }
    };
    let RequestHead { target, framing, length, .. } = head;
    let path = String::from_utf8_lossy(&buffer[target]).into_owned();
    let mut body = BodyReader::new(framing, MAX_BODY_BYTES).map_err(invalid_request)?;
    buffer.drain(..length);
    while !body.read_from(buffer).map_err(invalid_request)? {
        if !read_more(stream, buffer)? {
            return Ok(None);
        }
    }
    Ok(Some(path))
}

/// Appends the next received bytes to the buffer; `false` if the client has closed the connection.
fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; READ_BYTES];
    let length = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..length]);
    Ok(length > 0)
}

fn invalid_request(error: HttpError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
