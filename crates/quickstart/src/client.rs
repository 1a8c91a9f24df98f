//! A client that sends one HTTP request on a new connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time that each read of the answer may wait. It is longer than the deadline of any class in
/// `examples/quickstart/snowfield.toml`.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ANSWER_BYTES: u64 = 64 * 1024;

/// Sends a GET request for a tenant and returns the whole answer, with its head, as text.
///
/// # Errors
///
/// Fails if no server listens at the address, or if reading the answer times out.
pub fn get(address: SocketAddr, path: &str, tenant: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let request =
        format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nX-Lender: {tenant}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer)?;
    Ok(answer)
}

/// Whether an answer, as text with its head, has the status 200.
pub fn is_ok(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200 ")
}
