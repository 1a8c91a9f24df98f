//! One client's connection.

use crate::answer_queue::{AnswerQueue, CommandNumber, Slot};
use crate::memory::Reservation;
use link::{Connection, locked};
use std::sync::{Arc, Mutex};

pub(crate) struct ClientConnection {
    pub(crate) socket: Connection,
    pub(crate) queue: Mutex<AnswerQueue>,
}

impl ClientConnection {
    pub(crate) fn new(socket: Connection, incomplete: Reservation, unread: Reservation) -> Arc<Self> {
        Arc::new(Self { socket, queue: Mutex::new(AnswerQueue::new(incomplete, unread)) })
    }

    /// Keeps an answer for its turn. If its command is no longer queued, the client has left, and the answer is dropped.
    pub(crate) fn set_answer(&self, command: CommandNumber, answer: Slot) {
        let mut queue = locked(&self.queue);
        let replaced = match queue.slot(command) {
            Some(slot) => std::mem::replace(slot, answer),
            None => answer,
        };
        drop(queue);
        // Dropped after the lock is released: a stream notifies its backend's side.
        drop(replaced);
    }
}
