//! Reading commands until a connection ends.

use crate::client::ClientConnection;
use crate::client_state::ClientState;
use crate::closing::{ConnectionEnd, ServeResult};
use crate::front::Front;
use crate::limits::{
    CAPACITY_CHECK_INTERVAL, ERROR_READ_DELAY, MAX_BURST_COMMANDS, MAX_PIPELINED, MAX_READ_BYTES,
    MAX_RETAINED_BUFFER_BYTES, MIN_SHEDDABLE_BYTES, TYPICAL_REQUEST_BYTES, YIELD_TIME,
};
use link::{Incoming, lock_or_abort, sleep};
use resp::MalformedInput;
use std::ops::Range;
use std::sync::Arc;

/// Error text for a command that is shed because other clients need its memory.
const COMMAND_SHED: &str = "no room for so long a command";
/// Error text for a command that has exceeded its timeout.
const COMMAND_TIMED_OUT: &str = "the command did not become whole";
/// Error text for a client that pipelines more than [`MAX_PIPELINED`] commands.
const TOO_MANY_COMMANDS: &str = "too many commands at once";

/// The commands that were dispatched from a buffer.
struct DispatchedCommands {
    bytes: usize,
    commands: usize,
    has_errors: bool,
}

impl Front {
    /// Serves a connection until it ends. `incomplete` holds the bytes that another process has read of an incomplete command.
    pub(crate) fn serve(self: &Arc<Self>, client: &Arc<ClientConnection>, incomplete: Vec<u8>) {
        let end = self.read_commands(client, incomplete);
        self.end_connection(client, end);
    }

    fn read_commands(self: &Arc<Self>, client: &Arc<ClientConnection>, incomplete: Vec<u8>) -> ConnectionEnd {
        let mut buffer = incomplete;
        // During a drain, a new connection is read once before it ends, since its client may have sent a request as soon as the
        // kernel accepted the connection.
        let mut was_read = false;
        loop {
            let served = self.process_buffer(client, &mut buffer, was_read);
            if let Err(end) = served.and_then(|()| self.receive(client, &mut buffer)) {
                return end;
            }
            was_read = true;
        }
    }

    /// Dispatches the commands in the buffer. Delays the next read after an error or a burst, and while memory is short.
    fn process_buffer(
        self: &Arc<Self>,
        client: &Arc<ClientConnection>,
        buffer: &mut Vec<u8>,
        was_read: bool,
    ) -> ServeResult {
        if self.is_handing_over() && self.hand_over(client, buffer) {
            return Err(ConnectionEnd::HandedOver);
        }
        // Commands of a client that has disconnected are not dispatched.
        if client.socket.is_peer_closed() {
            return Err(ConnectionEnd::ClientGone);
        }
        let dispatched = self.dispatch_commands(client, buffer)?;
        remove_front(buffer, dispatched.bytes);
        update_incomplete(client, buffer, &dispatched)?;
        // The state is also checked between reads, since a client that pipelines without a pause never leaves the input empty.
        if was_read {
            self.end_if_draining(&mut lock_or_abort(&client.state))?;
        }
        yield_after(&dispatched);
        self.wait_for_memory(client, buffer.len());
        if lock_or_abort(&client.state).incomplete_command.is_shed() {
            return Err(ConnectionEnd::Error(COMMAND_SHED));
        }
        Ok(())
    }

    /// Dispatches all complete commands of the buffer.
    fn dispatch_commands(
        self: &Arc<Self>,
        client: &Arc<ClientConnection>,
        buffer: &[u8],
    ) -> Result<DispatchedCommands, MalformedInput> {
        let mut dispatched = DispatchedCommands { bytes: 0, commands: 0, has_errors: false };
        while !self.is_handing_over() {
            let start = dispatched.bytes;
            let Some(command) = resp::parse_command(buffer, start)? else { break };
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

    /// Returns the size from which an incomplete command may be delayed or shed: a connection's share of the budget, at least
    /// [`MIN_SHEDDABLE_BYTES`] and at most [`TYPICAL_REQUEST_BYTES`].
    fn min_sheddable_bytes(&self) -> usize {
        let share = self.memory.incomplete_command_budget.share(self.connections.max_connections());
        share.clamp(MIN_SHEDDABLE_BYTES, TYPICAL_REQUEST_BYTES)
    }

    /// Stops reading a large incomplete command while the budget for incomplete commands is exceeded.
    fn wait_for_memory(&self, client: &ClientConnection, incomplete_bytes: usize) {
        let budget = &self.memory.incomplete_command_budget;
        if !budget.is_exceeded() {
            return;
        }
        let min_bytes = self.min_sheddable_bytes();
        if incomplete_bytes < min_bytes {
            return;
        }
        self.connections.shed_incomplete_command(min_bytes);
        let may_wait =
            |state: &ClientState| !state.incomplete_command.is_shed() && !state.is_command_overdue();
        while budget.is_exceeded() && may_wait(&lock_or_abort(&client.state)) && !client.socket.is_closed() {
            sleep(CAPACITY_CHECK_INTERVAL);
        }
    }

    /// Waits for bytes, or for a hand-over to begin.
    fn receive(&self, client: &ClientConnection, buffer: &mut Vec<u8>) -> ServeResult {
        loop {
            match client.socket.receive(buffer, MAX_READ_BYTES) {
                Ok(Incoming::Bytes(_)) => return Ok(()),
                Ok(Incoming::Woken) if self.is_handing_over() => return Ok(()),
                // A wake is reported only when nothing is left to read, so no request has arrived unread.
                Ok(Incoming::Woken) => self.check_woken(client)?,
                Ok(Incoming::End) | Err(_) => return Err(ConnectionEnd::ClientGone),
            }
        }
    }

    /// Ends a woken connection if the front drains, its command is overdue or shed, or the connection is evicted or silent.
    fn check_woken(&self, client: &ClientConnection) -> ServeResult {
        let mut state = lock_or_abort(&client.state);
        self.end_if_draining(&mut state)?;
        if state.is_command_overdue() {
            return Err(ConnectionEnd::Error(COMMAND_TIMED_OUT));
        }
        if state.incomplete_command.is_shed() {
            return Err(ConnectionEnd::Error(COMMAND_SHED));
        }
        let is_idle = state.take_eviction() || state.is_silent();
        if is_idle && client.socket.unsent() == 0 { Err(ConnectionEnd::Idle) } else { Ok(()) }
    }
}

/// Updates the incomplete command after a read. Ends a connection that pipelines too many commands.
fn update_incomplete(
    client: &ClientConnection,
    buffer: &Vec<u8>,
    dispatched: &DispatchedCommands,
) -> ServeResult {
    let mut state = lock_or_abort(&client.state);
    state.incomplete_command.update(buffer.len(), dispatched.bytes > 0);
    state.incomplete_command.reserve_buffer(buffer.capacity());
    if state.answers.len() > MAX_PIPELINED { Err(ConnectionEnd::Error(TOO_MANY_COMMANDS)) } else { Ok(()) }
}

/// Removes bytes from the front of a read buffer. Frees a large buffer that becomes empty.
fn remove_front(buffer: &mut Vec<u8>, bytes: usize) {
    buffer.drain(..bytes);
    if buffer.is_empty() && buffer.capacity() > MAX_RETAINED_BUFFER_BYTES {
        *buffer = Vec::new();
    }
}

/// Lets other connections run after an error or a burst of pipelined commands.
fn yield_after(dispatched: &DispatchedCommands) {
    if dispatched.has_errors {
        sleep(ERROR_READ_DELAY);
    } else if dispatched.commands > MAX_BURST_COMMANDS {
        sleep(YIELD_TIME);
    }
}
