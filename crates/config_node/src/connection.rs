//! Connections between nodes. A connection carries messages both ways. A message is dropped if its connection's queue is full or
//! the connection cannot be established; its sender retransmits it.

mod accepted;
mod outgoing;

pub(crate) use accepted::listen;
pub(crate) use outgoing::start_sender;

use crate::connection_id::ConnectionId;
use crate::event::Event;
use crate::message_io::{SharedKeys, read_message, write_message};
use replicated_config::Message;
use std::net::TcpStream;
use std::sync::mpsc::{Receiver, SyncSender};
use std::time::Duration;

/// Timeout for establishing a connection, and for each write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a connection without messages is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The keys and the event channel that all connections of a node share.
#[derive(Clone)]
pub(crate) struct ConnectionContext {
    pub(crate) keys: SharedKeys,
    pub(crate) events: SyncSender<Event>,
}

/// Reads messages until the connection ends, fails or is idle for [`IDLE_TIMEOUT`]. `connection` is its id if another node has
/// opened it.
fn read_messages(mut stream: TcpStream, connection: Option<ConnectionId>, context: &ConnectionContext) {
    let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
    while let Ok(message) = read_message(&mut stream, &context.keys) {
        if context.events.send(Event::Received { connection, message }).is_err() {
            return;
        }
    }
}

/// Writes messages until the connection ends, the queue is closed, or no message has come for [`IDLE_TIMEOUT`].
fn write_messages(stream: &mut TcpStream, messages: &Receiver<Message>, keys: &SharedKeys) {
    set_write_options(stream);
    while let Ok(message) = messages.recv_timeout(IDLE_TIMEOUT) {
        if write_message(stream, &message, keys).is_err() {
            return;
        }
    }
}

/// Disables Nagle's algorithm and sets the write timeout. Errors are ignored: the connection works without these options, but
/// more slowly.
fn set_write_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
}
