//! Connections between nodes. A connection carries messages both ways. A message is dropped where its connection's queue is full
//! or no node accepts the connection; its sender retransmits it.

use crate::error::Error;
use crate::event::{ConnectionId, Event};
use crate::message_io::{SharedKeys, read_message, write_message};
use membership::authentication::Keyring;
use replicated_config::Message;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

/// Messages that may wait to be written to one connection.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Connections that other nodes may have open to this one.
const MAX_CONNECTIONS: usize = 512;
/// Time-out for connecting, and for writing a message.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection without messages for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads messages from a connection until it ends.
fn read_messages(
    mut stream: TcpStream,
    connection: Option<ConnectionId>,
    keys: &SharedKeys,
    events: &SyncSender<Event>,
) {
    let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
    while let Ok(message) = read_message(&mut stream, keys) {
        if events.send(Event::Received { connection, message }).is_err() {
            return;
        }
    }
}

/// Writes messages to a connection until it ends, or nobody has any for it.
fn write_messages(stream: &mut TcpStream, messages: &Receiver<Message>, keys: &SharedKeys) {
    set_write_options(stream);
    while let Ok(message) = messages.recv_timeout(IDLE_TIMEOUT) {
        if write_message(stream, &message, keys).is_err() {
            return;
        }
    }
}

/// Where an option cannot be set, the connection is slower and works all the same.
fn set_write_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
}

/// Accepts connections in a thread of its own.
pub(crate) fn listen(listener: TcpListener, keys: SharedKeys, events: SyncSender<Event>) -> io::Result<()> {
    let accept_all = move || {
        let open = Arc::new(AtomicUsize::new(0));
        let accepted = listener.incoming().map_while(Result::ok);
        let below_limit = accepted.filter(|_| open.load(Ordering::Relaxed) < MAX_CONNECTIONS);
        for (number, stream) in (0..).zip(below_limit) {
            let connection = ConnectionId(number);
            let Ok(reader) = stream.try_clone() else { continue };
            let (queue, messages) = sync_channel(MAX_QUEUED_MESSAGES);
            if events.send(Event::Connected { connection, queue }).is_err() {
                return;
            }
            let accepted = AcceptedConnection {
                connection,
                reader,
                writer: stream,
                messages,
                keys: keys.clone(),
                events: events.clone(),
            };
            open.fetch_add(1, Ordering::Relaxed);
            let open = open.clone();
            let serve = move || {
                accepted.serve();
                open.fetch_sub(1, Ordering::Relaxed);
            };
            let _ = thread::Builder::new().name("agreed-conn".into()).spawn(serve);
        }
    };
    thread::Builder::new().name("agreed-listen".into()).spawn(accept_all).map(drop)
}

/// A connection that another node has opened.
struct AcceptedConnection {
    connection: ConnectionId,
    reader: TcpStream,
    writer: TcpStream,
    messages: Receiver<Message>,
    keys: SharedKeys,
    events: SyncSender<Event>,
}

impl AcceptedConnection {
    /// Reads and writes messages until the connection ends.
    fn serve(self) {
        let Self { connection, reader, mut writer, messages, keys, events } = self;
        let reader_keys = keys.clone();
        let read = thread::spawn(move || {
            read_messages(reader, Some(connection), &reader_keys, &events);
            // The event drops the connection's queue, which ends the writer.
            let _ = events.send(Event::Disconnected(connection));
        });
        write_messages(&mut writer, &messages, &keys);
        let _ = writer.shutdown(Shutdown::Both);
        let _ = read.join();
    }
}

/// Starts the thread that sends messages to a replica. It connects when there is something to send. Returns the queue of messages.
pub(crate) fn open_peer(
    address: SocketAddr,
    keys: SharedKeys,
    events: SyncSender<Event>,
) -> io::Result<SyncSender<Message>> {
    let (queue, messages) = sync_channel::<Message>(MAX_QUEUED_MESSAGES);
    let run = move || {
        loop {
            match messages.recv_timeout(IDLE_TIMEOUT) {
                Ok(first) => send_over_new_connection(address, &first, &messages, &keys, &events),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    };
    thread::Builder::new().name("agreed-peer".into()).spawn(run)?;
    Ok(queue)
}

/// Connects, and sends this message and those that follow until the connection ends.
fn send_over_new_connection(
    address: SocketAddr,
    first: &Message,
    messages: &Receiver<Message>,
    keys: &SharedKeys,
    events: &SyncSender<Event>,
) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, WRITE_TIMEOUT) else {
        // What has come meanwhile is as late as the first one.
        while messages.try_recv().is_ok() {}
        return;
    };
    let Ok(reader) = stream.try_clone() else { return };
    let (reader_keys, reader_events) = (keys.clone(), events.clone());
    let read = thread::Builder::new()
        .name("agreed-peer".into())
        .spawn(move || read_messages(reader, None, &reader_keys, &reader_events));
    set_write_options(&stream);
    if write_message(&mut stream, first, keys).is_ok() {
        write_messages(&mut stream, messages, keys);
    }
    let _ = stream.shutdown(Shutdown::Both);
    if let Ok(read) = read {
        let _ = read.join();
    }
}

/// Sends a message to a replica and returns the first answer that `is_answer` accepts.
///
/// # Errors
///
/// [`Error::Connection`] where nothing comes within `timeout`; [`Error::Unauthenticated`], [`Error::FrameTooLarge`] or
/// [`Error::Message`] where what comes is no message of a node with the same keys.
pub fn call(
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
