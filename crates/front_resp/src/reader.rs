//! Reading commands until a connection ends.

use crate::answer_queue::{AnswerQueue, Slot};
use crate::client::ClientConnection;
use crate::front::Front;
use crate::limits::{
    ERROR_PENALTY, MAX_BURST, MAX_KEPT_BUFFER, MAX_QUEUED, MAX_READ, READS_WHILE_ENDING, ROOM_CHECK, TURN,
    USUAL_REQUEST,
};
use exchange::RequestId;
use invariants::Guard;
use link::{Incoming, locked, sleep};
use resp::Malformed;
use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;
use std::time::Instant;

/// What a command that takes others' memory is told.
const NO_ROOM: &str = "no room for so long a command";

/// Why a connection ends.
#[derive(Clone, Copy, Debug)]
enum End {
    /// Its client has gone: nobody waits for anything on it.
    ClientGone,
    /// It has been idle for long.
    Idle,
    /// The process shuts down: nothing more is taken, and what was taken is answered.
    Shutdown,
    /// Another process continues with it.
    HandedOver,
    /// This error is answered in its turn.
    Error(&'static str),
}

/// The guard on closing: whoever is still there has the answers to all that was taken.
fn check_closing(client: &ClientConnection, end: End, unanswered: &VecDeque<Slot>) {
    let waiting = || unanswered.iter().filter(|slot| matches!(slot, Slot::Waiting(_)));
    // Who leaves, or reads so slowly that this process has closed the connection, gets nothing more.
    let is_gone =
        matches!(end, End::ClientGone) || client.socket.is_peer_closed() || client.socket.is_closed();
    invariants::check(
        Guard::Closing,
        is_gone || waiting().next().is_none(),
        format_args!("requests {:?} have no answer where a connection ends: {end:?}", ids(waiting())),
    );
}

/// The ids of the requests that wait in these slots.
fn ids<'a>(slots: impl Iterator<Item = &'a Slot>) -> Vec<RequestId> {
    slots.filter_map(|slot| if let Slot::Waiting(id) = slot { *id } else { None }).collect()
}

/// What was taken from a buffer.
struct Taken {
    bytes: usize,
    commands: usize,
    has_errors: bool,
}

impl Front {
    /// Reads commands until the client leaves or cannot be understood. `incomplete` was read by another process.
    pub(crate) fn serve(self: &Arc<Self>, client: &Arc<ClientConnection>, incomplete: Vec<u8>) {
        let end = self.read_commands(client, incomplete);
        match end {
            End::Error(text) => self.end_with_error(client, text),
            End::HandedOver => return,
            End::Shutdown => self.finish(client),
            End::Idle | End::ClientGone => {}
        }
        let unanswered = locked(&client.queue).take_all();
        check_closing(client, end, &unanswered);
        client.socket.close();
        for slot in unanswered {
            // Streamed answers end with their slots.
            if let Slot::Waiting(Some(id)) = slot {
                self.exchange.client_gone(id);
            }
        }
    }

    fn read_commands(self: &Arc<Self>, client: &Arc<ClientConnection>, incomplete: Vec<u8>) -> End {
        let mut buffer = incomplete;
        // While the process shuts down, what has waited in a new connection is still taken: its client has sent it on a connection
        // that this machine has accepted.
        let mut may_end = false;
        loop {
            if self.is_handing_over() && self.hand_over(client, &mut buffer) {
                return End::HandedOver;
            }
            // What was received from a client that has gone since is not begun.
            if client.socket.is_peer_closed() {
                return End::ClientGone;
            }
            let taken = match self.take_commands(client, &buffer) {
                Ok(taken) => taken,
                // What follows cannot be delimited any more.
                Err(Malformed(text)) => return End::Error(text),
            };
            buffer.drain(..taken.bytes);
            if buffer.is_empty() && buffer.capacity() > MAX_KEPT_BUFFER {
                buffer = Vec::new();
            }
            let end = self.note_incomplete(client, buffer.len(), taken.bytes > 0);
            if let Some(end) = end.or_else(|| may_end.then(|| self.end_by_shutdown(client)).flatten()) {
                return end;
            }
            may_end = true;
            if taken.has_errors {
                sleep(ERROR_PENALTY);
            } else if taken.commands > MAX_BURST {
                sleep(TURN);
            }
            self.wait_for_memory(client, buffer.len());
            if locked(&client.queue).is_too_large {
                return End::Error(NO_ROOM);
            }
            if let Some(end) = self.receive(client, &mut buffer) {
                return end;
            }
        }
    }

    /// Takes all complete commands of the buffer.
    fn take_commands(
        self: &Arc<Self>,
        client: &Arc<ClientConnection>,
        buffer: &[u8],
    ) -> Result<Taken, Malformed> {
        let mut taken = Taken { bytes: 0, commands: 0, has_errors: false };
        while !self.is_handing_over() {
            let start = taken.bytes;
            let Some(command) = resp::command(buffer, start)? else { break };
            let arguments =
                command.arguments.iter().map(|argument| argument.start - start..argument.end - start);
            let arguments: Vec<Range<usize>> = arguments.collect();
            taken.has_errors |= !self.take_command(client, &buffer[start..command.end], &arguments);
            taken.bytes = command.end;
            taken.commands += 1;
        }
        Ok(taken)
    }

    /// Notes how much of a command is incomplete, and since when. Returns the end if it has come.
    fn note_incomplete(&self, client: &ClientConnection, bytes: usize, has_progress: bool) -> Option<End> {
        let mut queue = locked(&client.queue);
        let since = queue.incomplete_since.filter(|_| !has_progress).unwrap_or_else(Instant::now);
        queue.incomplete_since = (bytes > 0).then_some(since);
        queue.incomplete.resize(bytes);
        // One that has become complete in time is not owed an error.
        queue.is_too_large &= queue.incomplete_since.is_some();
        if queue.len() > MAX_QUEUED {
            return Some(End::Error("too many commands at once"));
        }
        None
    }

    /// Whether the connection ends as the process shuts down. Asked between reads too: a client that always has another command on
    /// its way would never be found between requests.
    fn end_by_shutdown(&self, client: &ClientConnection) -> Option<End> {
        self.ends_by_shutdown(&mut locked(&client.queue))
    }

    fn ends_by_shutdown(&self, queue: &mut AnswerQueue) -> Option<End> {
        if !self.is_closing() || queue.incomplete_since.is_some() {
            return None;
        }
        queue.end();
        Some(End::Shutdown)
    }

    /// A large incomplete command waits while all of them hold too much.
    fn wait_for_memory(&self, client: &ClientConnection, bytes: usize) {
        let budget = &self.memory.incomplete;
        if bytes < USUAL_REQUEST || !budget.is_exceeded() {
            return;
        }
        self.make_room_for_incomplete();
        let may_wait = |queue: &AnswerQueue| !queue.is_too_large && !queue.is_late();
        while budget.is_exceeded() && may_wait(&locked(&client.queue)) && !client.socket.is_closed() {
            sleep(ROOM_CHECK);
        }
    }

    /// Waits for bytes, or for a reason to look at the state anew. Returns the end if it has come.
    fn receive(&self, client: &ClientConnection, buffer: &mut Vec<u8>) -> Option<End> {
        loop {
            match client.socket.receive(buffer, MAX_READ) {
                Ok(Incoming::Bytes(_)) => return None,
                Ok(Incoming::Woken) if self.is_handing_over() => return None,
                // Only here, where nothing is left to read, is it certain that no request has arrived unread.
                Ok(Incoming::Woken) => {
                    if let Some(end) = self.end_when_woken(client) {
                        return Some(end);
                    }
                }
                Ok(Incoming::End) | Err(_) => return Some(End::ClientGone),
            }
        }
    }

    /// Whether a connection that was woken ends.
    fn end_when_woken(&self, client: &ClientConnection) -> Option<End> {
        let mut queue = locked(&client.queue);
        if let Some(end) = self.ends_by_shutdown(&mut queue) {
            return Some(end);
        }
        if queue.is_late() {
            return Some(End::Error("the command did not become whole"));
        }
        if queue.is_too_large {
            return Some(End::Error(NO_ROOM));
        }
        let is_evicted = std::mem::take(&mut queue.is_unwanted) && queue.evictable_for().is_some();
        let is_idle = is_evicted || queue.is_silent();
        (is_idle && client.socket.unsent() == 0).then_some(End::Idle)
    }

    /// Waits until all that was taken here has its answer, then hands the connection over. What a client sends meanwhile stays
    /// unread for the successor. Returns whether it is handed over; it is not if the front resumes, or the client left.
    fn hand_over(&self, client: &ClientConnection, buffer: &mut Vec<u8>) -> bool {
        loop {
            let successor = locked(&self.successor).clone();
            let Some(successor) = successor else { return false };
            if locked(&client.queue).is_empty() && client.socket.unsent() == 0 {
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

    /// Answers an error in its turn, once all that was taken before has its answer, and ends the connection. What still arrives is
    /// ignored.
    fn end_with_error(&self, client: &ClientConnection, text: &str) {
        let command = {
            let mut queue = locked(&client.queue);
            queue.end();
            queue.push()
        };
        self.answer_error(client, command, text);
        self.finish(client);
    }

    /// Takes nothing more, waits until all that was taken is answered, and then ends the connection so that no answer is lost.
    fn finish(&self, client: &ClientConnection) {
        // Read on for a while, to see the client leave; a client that sends without end is left to the system.
        let mut unread = Vec::new();
        for _ in 0..READS_WHILE_ENDING {
            if locked(&client.queue).is_empty() {
                break;
            }
            match client.socket.receive(&mut unread, MAX_READ) {
                Ok(Incoming::Bytes(_) | Incoming::Woken) => unread.clear(),
                Ok(Incoming::End) | Err(_) => return,
            }
        }
        while !locked(&client.queue).is_empty() {
            if client.socket.is_peer_closed() || client.socket.flush_and_wait().is_err() {
                return;
            }
        }
        client.socket.close_gracefully();
    }
}
