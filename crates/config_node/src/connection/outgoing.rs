//! Connections that this node opens to the replicas.

use super::{
    ConnectionContext, IDLE_TIMEOUT, WRITE_TIMEOUT, read_messages, set_write_options, write_messages,
};
use crate::message_io::write_message;
use crate::message_queue::MessageQueue;
use replicated_config::Message;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;

/// Starts a thread that sends messages to the replica at `address`, and returns the queue of these messages. The thread
/// connects when the queue has a message, and ends when the queue is dropped.
pub(crate) fn start_sender(address: SocketAddr, context: ConnectionContext) -> io::Result<MessageQueue> {
    let (queue, messages) = MessageQueue::new();
    let run = move || send_all(address, &messages, &context);
    thread::Builder::new().name("agreed-peer".into()).spawn(run)?;
    Ok(queue)
}

fn send_all(address: SocketAddr, messages: &Receiver<Message>, context: &ConnectionContext) {
    loop {
        match messages.recv_timeout(IDLE_TIMEOUT) {
            Ok(first) => send_over_new_connection(address, &first, messages, context),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Connects, then sends `first` and all further messages until the connection ends.
fn send_over_new_connection(
    address: SocketAddr,
    first: &Message,
    messages: &Receiver<Message>,
    context: &ConnectionContext,
) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, WRITE_TIMEOUT) else {
        // The replica is unreachable. Messages that were queued during the attempt are as outdated as the first one.
        while messages.try_recv().is_ok() {}
        return;
    };
    let Ok(reader) = stream.try_clone() else { return };
    let reader_context = context.clone();
    let read = thread::Builder::new()
        .name("agreed-peer".into())
        .spawn(move || read_messages(reader, None, &reader_context));
    set_write_options(&stream);
    if write_message(&mut stream, first, &context.keys).is_ok() {
        write_messages(&mut stream, messages, &context.keys);
    }
    let _ = stream.shutdown(Shutdown::Both);
    if let Ok(read) = read {
        let _ = read.join();
    }
}
