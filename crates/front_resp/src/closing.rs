//! How a connection ends: graceful drain, hand-over to a successor, and errors.

use crate::answer_queue::Slot;
use crate::client::ClientConnection;
use crate::client_state::ClientState;
use crate::front::Front;
use crate::limits::{MAX_READ_BYTES, MAX_READS_WHILE_ENDING};
use exchange::RequestId;
use invariants::Guard;
use link::{Incoming, lock_or_abort};
use resp::MalformedInput;
use std::collections::VecDeque;

/// Why a connection ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ConnectionEnd {
    /// The client has disconnected: no answer can reach it.
    ClientGone,
    /// The idle timeout has passed, or the connection is evicted.
    Idle,
    /// The process shuts down: no more commands are read, and commands that were read before are answered.
    Shutdown,
    /// A successor continues with the connection.
    HandedOver,
    /// The client violated the protocol or a limit. The error text is sent after the answers to all earlier commands.
    Error(&'static str),
}

/// `Ok` while a connection is served further, otherwise the reason why it ends.
pub(crate) type ServeResult = Result<(), ConnectionEnd>;

impl From<MalformedInput> for ConnectionEnd {
    /// A malformed command ends the connection, since the end of the command cannot be determined.
    fn from(MalformedInput(text): MalformedInput) -> Self {
        Self::Error(text)
    }
}

impl Front {
    /// Ends a connection from which no more commands are read, and cancels its requests that are still in flight.
    pub(crate) fn end_connection(&self, client: &ClientConnection, end: ConnectionEnd) {
        match end {
            ConnectionEnd::Error(text) => self.end_with_error(client, text),
            ConnectionEnd::HandedOver => return,
            ConnectionEnd::Shutdown => close_after_answers(client),
            ConnectionEnd::Idle | ConnectionEnd::ClientGone => {}
        }
        let unanswered = lock_or_abort(&client.state).answers.take_all();
        check_unanswered(client, end, &unanswered);
        client.socket.close();
        for slot in unanswered {
            // A streamed answer is cancelled when its slot is dropped.
            if let Slot::Waiting(Some(id)) = slot {
                self.exchange.client_gone(id);
            }
        }
    }

    /// Ends the connection if the front drains and no command is incomplete.
    pub(crate) fn end_if_draining(&self, state: &mut ClientState) -> ServeResult {
        if !self.is_draining() || state.incomplete_command.is_pending() {
            return Ok(());
        }
        state.end();
        Err(ConnectionEnd::Shutdown)
    }

    /// Waits until all commands are answered, then hands the connection over to the successor. Bytes that arrive meanwhile stay
    /// unread for the successor. Returns false if the front resumes or the connection fails first.
    pub(crate) fn hand_over(&self, client: &ClientConnection, buffer: &mut Vec<u8>) -> bool {
        loop {
            let successor = lock_or_abort(&self.successor).clone();
            let Some(successor) = successor else { return false };
            if lock_or_abort(&client.state).answers.is_empty() && client.socket.unsent() == 0 {
                let Ok(socket) = client.socket.try_clone_socket() else { return false };
                successor(socket, std::mem::take(buffer));
                client.socket.release();
                return true;
            }
            if client.socket.flush_and_wait().is_err() || client.socket.is_peer_closed() {
                return false;
            }
        }
    }

    /// Sends an error after the answers to all earlier commands, and closes the connection. Bytes that still arrive are ignored.
    fn end_with_error(&self, client: &ClientConnection, text: &str) {
        let command = {
            let mut state = lock_or_abort(&client.state);
            state.end();
            state.answers.push()
        };
        self.answer_error(client, command, text);
        close_after_answers(client);
    }
}

/// Waits until all commands are answered, and closes the connection gracefully.
fn close_after_answers(client: &ClientConnection) {
    // A few more reads notice whether the client disconnects. After these reads, TCP flow control stops a client that keeps
    // sending.
    let mut unread = Vec::new();
    for _ in 0..MAX_READS_WHILE_ENDING {
        if lock_or_abort(&client.state).answers.is_empty() {
            break;
        }
        match client.socket.receive(&mut unread, MAX_READ_BYTES) {
            Ok(Incoming::Bytes(_) | Incoming::Woken) => unread.clear(),
            Ok(Incoming::End) | Err(_) => return,
        }
    }
    while !lock_or_abort(&client.state).answers.is_empty() {
        if client.socket.is_peer_closed() || client.socket.flush_and_wait().is_err() {
            return;
        }
    }
    client.socket.close_gracefully();
}

/// Checks the invariant that a client which is still connected has the answers to all its requests.
fn check_unanswered(client: &ClientConnection, end: ConnectionEnd, unanswered: &VecDeque<Slot>) {
    let waiting = || unanswered.iter().filter(|slot| matches!(slot, Slot::Waiting(_)));
    // If the client read too slowly, this process closed the socket, and the client counts as disconnected.
    let is_gone = matches!(end, ConnectionEnd::ClientGone)
        || client.socket.is_peer_closed()
        || client.socket.is_closed();
    invariants::check(
        Guard::Closing,
        is_gone || waiting().next().is_none(),
        format_args!(
            "requests {:?} are unanswered at the end of their connection: {end:?}",
            request_ids(waiting())
        ),
    );
}

/// The ids of the requests that wait in these slots.
fn request_ids<'a>(slots: impl Iterator<Item = &'a Slot>) -> Vec<RequestId> {
    slots.filter_map(|slot| if let Slot::Waiting(id) = slot { *id } else { None }).collect()
}
