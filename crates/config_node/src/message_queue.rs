//! Bounded queues of messages that wait to be written to a connection.

use replicated_config::Message;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

/// Maximum number of messages that wait to be written to one connection.
const MAX_QUEUED_MESSAGES: usize = 64;

/// The sending side of a queue, which drops messages instead of blocking.
pub(crate) struct MessageQueue(SyncSender<Message>);

impl MessageQueue {
    /// Creates a queue. Returns its sending and its receiving side.
    pub(crate) fn new() -> (Self, Receiver<Message>) {
        let (sender, receiver) = sync_channel(MAX_QUEUED_MESSAGES);
        (Self(sender), receiver)
    }

    /// Queues a message. Drops it if the queue is full or its connection is closed; the message's sender retransmits it.
    pub(crate) fn send(&self, message: Message) {
        match self.0.try_send(message) {
            Ok(()) | Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
        }
    }
}
