//! Writing answers in the order of their commands.

use crate::answer_queue::{AnswerQueue, CommandNumber, DueAnswers, Slot};
use crate::client::ClientConnection;
use crate::front::Front;
use crate::limits::{MAX_UNREAD_BYTES, MAX_UNREAD_BYTES_UNDER_PRESSURE};
use crate::memory::Reservation;
use exchange::StreamReader;
use link::{Connection, lock_or_abort};
use std::sync::Arc;

/// The result of writing due answers.
enum WriteProgress {
    /// All due answers were written, or as many of their bytes as the socket took.
    Written,
    /// No answer is due, although commands wait for theirs.
    NothingDue,
    /// A streamed answer broke off, so the connection must be closed.
    Truncated,
    /// The connection is broken or closed.
    ConnectionBroken,
}

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
        // The bytes are sent under the lock, so that a later answer cannot overtake this one.
        let progress = write_until_blocked(&client.socket, &mut state.answers);
        match progress {
            WriteProgress::Written => {}
            WriteProgress::NothingDue => return,
            WriteProgress::Truncated | WriteProgress::ConnectionBroken => {
                drop(state);
                client.socket.close();
                return;
            }
        }
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
        if unread > MAX_UNREAD_BYTES || is_stalled {
            client.socket.close();
        } else if wakes_reader {
            client.socket.wake();
        }
    }
}

/// Writes due answers until no more are due, or until the socket does not take all bytes.
///
/// A streamed answer is due in chunks. If the socket takes a chunk at once, no event follows that would ask for the next chunk:
/// [`Connection::on_flushed`] reports only a socket that was full before, and the backend's side may have written its last bytes.
fn write_until_blocked(socket: &Connection, answers: &mut AnswerQueue) -> WriteProgress {
    loop {
        let DueAnswers { bytes, is_truncated } = answers.take_due(socket.unsent());
        if is_truncated {
            // Closing the connection tells the client that the value is truncated, so nothing may be sent after it.
            let _ = socket.send(&bytes);
            return WriteProgress::Truncated;
        }
        if bytes.is_empty() {
            return if answers.is_empty() { WriteProgress::Written } else { WriteProgress::NothingDue };
        }
        match socket.send(&bytes) {
            Ok(true) if !answers.is_empty() => {}
            Ok(_) => return WriteProgress::Written,
            Err(_) => return WriteProgress::ConnectionBroken,
        }
    }
}
