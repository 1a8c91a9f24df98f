//! One client's connection.

use crate::answer_queue::{CommandNumber, Slot};
use crate::client_state::ClientState;
use crate::memory::Reservation;
use exchange::PendingWork;
use link::{Connection, lock_or_abort};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A client's connection: the socket, and the connection's state, which a lock protects.
pub(crate) struct ClientConnection {
    pub(crate) socket: Connection,
    pub(crate) state: Mutex<ClientState>,
}

impl ClientConnection {
    pub(crate) fn new(socket: Connection, incomplete: Reservation, unread: Reservation) -> Arc<Self> {
        Arc::new(Self { socket, state: Mutex::new(ClientState::new(incomplete, unread)) })
    }

    /// Returns what the client still waits for; `None` between two commands, and once the socket has taken the last answer.
    ///
    /// An incomplete command that began after the drain did is not waited for. Otherwise a client that keeps beginning commands
    /// could keep the process from exiting.
    pub(crate) fn pending_work(&self, draining_for: Duration) -> Option<PendingWork> {
        let state = lock_or_abort(&self.state);
        if !state.answers.is_empty() {
            Some(PendingWork::UnansweredRequest)
        } else if state.incomplete_command.age().is_some_and(|age| age >= draining_for) {
            Some(PendingWork::IncompleteRequest)
        } else {
            (self.socket.unsent() > 0).then_some(PendingWork::UnsentAnswer)
        }
    }

    /// Stores the answer to a command until all earlier answers are written. An answer to a command that is no longer queued is
    /// dropped, since the connection has ended.
    pub(crate) fn set_answer(&self, command: CommandNumber, answer: Slot) {
        let mut state = lock_or_abort(&self.state);
        let replaced = match state.answers.slot(command) {
            Some(slot) => std::mem::replace(slot, answer),
            None => answer,
        };
        drop(state);
        // The old slot is dropped after the lock is released: dropping a streamed answer notifies the backend's side.
        drop(replaced);
    }
}
