//! Calls to a replica from a process that is not a node, such as the command line.

use crate::error::Error;
use crate::message_io::{SharedKeys, read_message, write_message};
use membership::authentication::Keyring;
use replicated_config::Message;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Sends a message to the replica at this address and returns the first answer that `is_answer` accepts. `timeout` limits the
/// connection attempt and each read separately.
///
/// # Errors
///
/// Returns [`Error::Connection`] if the connection fails or no bytes arrive within `timeout`, and [`Error::Unauthenticated`],
/// [`Error::FrameTooLarge`] or [`Error::Message`] if the answer is not a message of a node with the same keys.
pub fn call_replica(
    address: SocketAddr,
    keys: &Keyring,
    message: &Message,
    timeout: Duration,
    is_answer: impl Fn(&Message) -> bool,
) -> Result<Message, Error> {
    let keys = SharedKeys::new(keys.clone());
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    write_message(&mut stream, message, &keys)?;
    loop {
        let answer = read_message(&mut stream, &keys)?;
        if is_answer(&answer) {
            return Ok(answer);
        }
    }
}
