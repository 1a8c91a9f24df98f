//! Writing answers in the order of their commands.

use crate::answer_queue::{CommandNumber, Slot};
use crate::client::ClientConnection;
use crate::front::Front;
use crate::limits::{MAX_UNREAD_BYTES, MAX_UNREAD_BYTES_UNDER_PRESSURE};
use crate::memory::Reservation;
use exchange::StreamReader;
use link::lock_or_abort;
use std::sync::Arc;

impl Front {
    /// Answers a command with an error.
    pub(crate) fn answer_error(&self, client: &ClientConnection, command: CommandNumber, text: &str) {
        self.answer(client, command, format!("-ERR {text}\r\n").into_bytes());
    }

    /// Stores a complete answer, and writes all answers that may be written now.
    pub(crate) fn answer(&self, client: &ClientConnection, command: CommandNumber, bytes: Vec<u8>) {
        let _reservation = Reservation::new(&self.memory.complete_budget, bytes.len());
        client.set_answer(command, Slot::Answered { bytes, _reservation });
        self.write_due_answers(client);
    }

    /// Stores a streamed answer, and writes its parts as they arrive and the client reads.
    pub(crate) fn stream(
        self: &Arc<Self>,
        client: &Arc<ClientConnection>,
        command: CommandNumber,
        stream: StreamReader,
    ) {
        let write_more = || {
            let (front, client) = (Arc::downgrade(self), Arc::downgrade(client));
            move || {
                if let (Some(front), Some(client)) = (front.upgrade(), client.upgrade()) {
                    front.write_due_answers(&client);
                }
            }
        };
        stream.notify_with(Box::new(write_more()));
        client.socket.on_flushed(write_more());
        client.set_answer(command, Slot::Streaming(stream));
        self.write_due_answers(client);
    }

    /// Writes the answers that may be written now. Closes the connection of a client that leaves too many bytes unread.
    fn write_due_answers(&self, client: &ClientConnection) {
        let mut state = lock_or_abort(&client.state);
        let due = state.answers.take_due(client.socket.unsent());
        if due.is_truncated {
            // Closing the connection tells the client that the value is truncated, so nothing may be sent after it.
            let _ = client.socket.send(&due.bytes);
            drop(state);
            client.socket.close();
            return;
        }
        if due.bytes.is_empty() && !state.answers.is_empty() || client.socket.is_closed() {
            return;
        }
        // The bytes are sent under the lock, so that a later answer cannot overtake this one.
        let sent = client.socket.send(&due.bytes);
        let unread = client.socket.unsent();
        let unread_before = state.unread_reservation.bytes();
        state.unread_reservation.resize(unread);
        let mut wakes_reader = self.is_draining() || self.is_handing_over();
        if state.answers.is_empty() {
            state.record_idle();
            wakes_reader |= state.is_ending();
        }
        drop(state);
        let is_under_pressure = self.memory.unread_answer_budget.is_exceeded();
        let is_stalled = unread_before > 0 && unread > MAX_UNREAD_BYTES_UNDER_PRESSURE && is_under_pressure;
        if sent.is_err() || unread > MAX_UNREAD_BYTES || is_stalled {
            client.socket.close();
        } else if wakes_reader {
            client.socket.wake();
        }
    }
}
