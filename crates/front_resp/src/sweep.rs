//! The periodic sweep: enforces timeouts that no socket event triggers, and keeps a reserve for new connections.

use crate::client::ClientConnection;
use crate::front::Front;
use crate::limits::{LINGER_TIMEOUT, MAX_UNREAD_BYTES_UNDER_PRESSURE};
use link::lock_or_abort;

/// What a sweep does with a connection.
enum SweepAction {
    Keep,
    /// Wakes the connection's reader, which checks the state and may end the connection.
    Wake,
    Close,
}

impl Front {
    /// Closes connections that are silent, overdue, lingering, or too slow to read under memory pressure, and evicts idle ones to
    /// keep a reserve for new connections. The caller runs it a few times a second.
    pub fn sweep(&self) {
        let clients = self.connections.clients();
        let is_under_pressure = self.memory.unread_answer_budget.is_exceeded();
        for client in &clients {
            match SweepAction::for_client(client, is_under_pressure) {
                SweepAction::Keep => {}
                SweepAction::Wake => client.socket.wake(),
                SweepAction::Close => client.socket.close(),
            }
        }
        self.connections.evict(self.connections.connections_to_evict(clients.len()));
    }
}

impl SweepAction {
    /// Chooses the action for a connection, and updates its reservation of unread bytes.
    fn for_client(client: &ClientConnection, is_under_pressure: bool) -> Self {
        let mut state = lock_or_abort(&client.state);
        let unread = client.socket.unsent();
        let is_stalled =
            unread > MAX_UNREAD_BYTES_UNDER_PRESSURE && unread >= state.unread_reservation.bytes();
        state.unread_reservation.resize(unread);
        let has_lingered = state.lingering_for().is_some_and(|time| time >= LINGER_TIMEOUT);
        if has_lingered || is_under_pressure && is_stalled {
            return Self::Close;
        }
        let needs_wake = state.is_command_overdue() || state.is_silent() || state.is_ending();
        if needs_wake { Self::Wake } else { Self::Keep }
    }
}
