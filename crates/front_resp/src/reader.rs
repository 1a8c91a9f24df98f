//! Reading commands until a connection ends.

use crate::client::ClientConnection;
use crate::client_state::ClientState;
use crate::closing::ConnectionEnd;
use crate::front::Front;
use crate::limits::{
    CAPACITY_CHECK_INTERVAL, ERROR_PENALTY, MAX_BURST, MAX_PIPELINED, MAX_READ_BYTES,
    MAX_RETAINED_BUFFER_BYTES, TURN, TYPICAL_REQUEST_BYTES,
};
use link::{Incoming, locked, sleep};
use resp::Malformed;
use std::ops::Range;
use std::sync::Arc;

/// The error to a command whose memory is needed for others.
const COMMAND_SHED: &str = "no room for so long a command";

/// The commands that were dispatched from a buffer.
struct Dispatched {
    bytes: usize,
    commands: usize,
    has_errors: bool,
}

impl Front {
    /// Serves a connection until it ends. `incomplete` was read by another process.
    pub(crate) fn serve(self: &Arc<Self>, client: &Arc<ClientConnection>, incomplete: Vec<u8>) {
        let end = self.read_commands(client, incomplete);
        self.end(client, end);
    }

    fn read_commands(self: &Arc<Self>, client: &Arc<ClientConnection>, incomplete: Vec<u8>) -> ConnectionEnd {
        let mut buffer = incomplete;
        // During a drain, a new connection is read once before it ends: its client sent the request on a connection that this machine
        // had accepted.
        let mut was_read = false;
        loop {
            if self.is_handing_over() && self.hand_over(client, &mut buffer) {
                return ConnectionEnd::HandedOver;
            }
            // Commands of a client that has disconnected since are not started.
            if client.socket.is_peer_closed() {
                return ConnectionEnd::ClientGone;
            }
            let dispatched = match self.dispatch_commands(client, &buffer) {
                Ok(dispatched) => dispatched,
                // The bytes that follow cannot be delimited any more.
                Err(Malformed(text)) => return ConnectionEnd::Error(text),
            };
            buffer.drain(..dispatched.bytes);
            if buffer.is_empty() && buffer.capacity() > MAX_RETAINED_BUFFER_BYTES {
                buffer = Vec::new();
            }
            if let Some(end) = update_incomplete(client, buffer.len(), &dispatched) {
                return end;
            }
            // Checked between reads too: a client that pipelines without a pause is never found between requests.
            if was_read && let Some(end) = self.end_if_draining(&mut locked(&client.state)) {
                return end;
            }
            was_read = true;
            yield_after(&dispatched);
            self.wait_for_memory(client, buffer.len());
            if locked(&client.state).incomplete.is_shed() {
                return ConnectionEnd::Error(COMMAND_SHED);
            }
            if let Some(end) = self.receive(client, &mut buffer) {
                return end;
            }
        }
    }

    /// Dispatches all complete commands of the buffer.
    fn dispatch_commands(
        self: &Arc<Self>,
        client: &Arc<ClientConnection>,
        buffer: &[u8],
    ) -> Result<Dispatched, Malformed> {
        let mut dispatched = Dispatched { bytes: 0, commands: 0, has_errors: false };
        while !self.is_handing_over() {
            let start = dispatched.bytes;
            let Some(command) = resp::command(buffer, start)? else { break };
            let arguments =
                command.arguments.iter().map(|argument| argument.start - start..argument.end - start);
            let arguments: Vec<Range<usize>> = arguments.collect();
            let is_valid = self.dispatch(client, &buffer[start..command.end], &arguments);
            dispatched.has_errors |= !is_valid;
            dispatched.bytes = command.end;
            dispatched.commands += 1;
        }
        Ok(dispatched)
    }

    /// Delays a large incomplete command while the budget for incomplete commands is exceeded.
    fn wait_for_memory(&self, client: &ClientConnection, incomplete_bytes: usize) {
        let budget = &self.memory.incomplete;
        if incomplete_bytes < TYPICAL_REQUEST_BYTES || !budget.is_exceeded() {
            return;
        }
        self.connections.shed_incomplete_command();
        let may_wait = |state: &ClientState| !state.incomplete.is_shed() && !state.is_late();
        while budget.is_exceeded() && may_wait(&locked(&client.state)) && !client.socket.is_closed() {
            sleep(CAPACITY_CHECK_INTERVAL);
        }
    }

    /// Waits for bytes, or for a hand-over to begin. Returns the end of the connection if it has come.
    fn receive(&self, client: &ClientConnection, buffer: &mut Vec<u8>) -> Option<ConnectionEnd> {
        loop {
            match client.socket.receive(buffer, MAX_READ_BYTES) {
                Ok(Incoming::Bytes(_)) => return None,
                Ok(Incoming::Woken) if self.is_handing_over() => return None,
                // A wake is reported when nothing is left to read. Only here is it certain that no request has arrived unread.
                Ok(Incoming::Woken) => {
                    if let Some(end) = self.end_when_woken(client) {
                        return Some(end);
                    }
                }
                Ok(Incoming::End) | Err(_) => return Some(ConnectionEnd::ClientGone),
            }
        }
    }

    /// Decides whether a connection that was woken ends.
    fn end_when_woken(&self, client: &ClientConnection) -> Option<ConnectionEnd> {
        let mut state = locked(&client.state);
        if let Some(end) = self.end_if_draining(&mut state) {
            return Some(end);
        }
        if state.is_late() {
            return Some(ConnectionEnd::Error("the command did not become whole"));
        }
        if state.incomplete.is_shed() {
            return Some(ConnectionEnd::Error(COMMAND_SHED));
        }
        let is_idle = state.take_eviction() || state.is_silent();
        (is_idle && client.socket.unsent() == 0).then_some(ConnectionEnd::Idle)
    }
}

/// Updates the incomplete command after a read. Returns the end of a connection that pipelines too many commands.
fn update_incomplete(
    client: &ClientConnection,
    bytes: usize,
    dispatched: &Dispatched,
) -> Option<ConnectionEnd> {
    let mut state = locked(&client.state);
    state.incomplete.update(bytes, dispatched.bytes > 0);
    let is_overfull = state.answers.len() > MAX_PIPELINED;
    is_overfull.then_some(ConnectionEnd::Error("too many commands at once"))
}

/// Lets other connections run after an error or a burst of pipelined commands.
fn yield_after(dispatched: &Dispatched) {
    if dispatched.has_errors {
        sleep(ERROR_PENALTY);
    } else if dispatched.commands > MAX_BURST {
        sleep(TURN);
    }
}
