//! Connections that other nodes open to this one.

use super::{ConnectionContext, read_messages, write_messages};
use crate::connection_id::ConnectionId;
use crate::event::Event;
use crate::message_queue::MessageQueue;
use replicated_config::Message;
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Receiver;
use std::thread;

/// Maximum number of open connections from other nodes.
const MAX_CONNECTIONS: usize = 512;

/// Starts the thread that accepts connections. Each connection is served by a separate thread.
pub(crate) fn listen(listener: TcpListener, context: ConnectionContext) -> io::Result<()> {
    let run = move || accept_all(&listener, &context);
    thread::Builder::new().name("agreed-listen".into()).spawn(run).map(drop)
}

/// Accepts connections until the listener fails or the node has stopped. Closes connections beyond [`MAX_CONNECTIONS`].
fn accept_all(listener: &TcpListener, context: &ConnectionContext) {
    let open_connections = Arc::new(AtomicUsize::new(0));
    let accepted = listener.incoming().map_while(Result::ok);
    let below_limit = accepted.filter(|_| open_connections.load(Ordering::Relaxed) < MAX_CONNECTIONS);
    for (number, stream) in (0..).zip(below_limit) {
        let connection = ConnectionId(number);
        let Ok(reader) = stream.try_clone() else { continue };
        let (queue, messages) = MessageQueue::new();
        if context.events.send(Event::Connected { connection, queue }).is_err() {
            return;
        }
        let accepted =
            AcceptedConnection { connection, reader, writer: stream, messages, context: context.clone() };
        serve_in_thread(accepted, open_connections.clone());
    }
}

/// Serves a connection in a separate thread, and counts the connection as open until it ends.
fn serve_in_thread(accepted: AcceptedConnection, open_connections: Arc<AtomicUsize>) {
    open_connections.fetch_add(1, Ordering::Relaxed);
    let serve = move || {
        accepted.serve();
        open_connections.fetch_sub(1, Ordering::Relaxed);
    };
    let _ = thread::Builder::new().name("agreed-conn".into()).spawn(serve);
}

/// A connection that another node has opened.
struct AcceptedConnection {
    connection: ConnectionId,
    reader: TcpStream,
    writer: TcpStream,
    /// Messages to the other node.
    messages: Receiver<Message>,
    context: ConnectionContext,
}

impl AcceptedConnection {
    /// Reads and writes messages until the connection ends.
    fn serve(self) {
        let Self { connection, reader, mut writer, messages, context } = self;
        let keys = context.keys.clone();
        let read = thread::spawn(move || {
            read_messages(reader, Some(connection), &context);
            // The event makes the node drop the connection's queue, which ends `write_messages`.
            let _ = context.events.send(Event::Disconnected(connection));
        });
        write_messages(&mut writer, &messages, &keys);
        let _ = writer.shutdown(Shutdown::Both);
        let _ = read.join();
    }
}
