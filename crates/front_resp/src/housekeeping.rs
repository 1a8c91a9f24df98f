//! Which connections are closed: silent, stuck and late ones, and idle ones when room is needed.

use crate::answer_queue::AnswerQueue;
use crate::client::ClientConnection;
use crate::front::Front;
use crate::limits::{LINGER, MAX_UNREAD_UNDER_PRESSURE, USUAL_REQUEST};
use link::locked;
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// Part of the table that stays free for those who come.
const FREE_PART: usize = 4;
/// Part of the time to read a last answer that is granted when room is needed.
const LINGER_PART_FOR_ROOM: u32 = 4;

/// What a sweep does with a connection.
enum Verdict {
    Keep,
    /// It is woken and checks the time by itself.
    Wake,
    Close,
}

/// A connection that may be closed to make room.
struct Evictable {
    client: Arc<ClientConnection>,
    /// None if it has ended and its client may still read the last answer.
    idle: Option<Duration>,
}

impl Front {
    /// Ends what is silent, never complete or does not leave, and keeps some room. To be called a few times a second.
    pub fn sweep(&self) {
        let clients = self.clients();
        let is_under_pressure = self.memory.unread.is_exceeded();
        for client in &clients {
            match verdict(client, is_under_pressure) {
                Verdict::Keep => {}
                Verdict::Wake => client.socket.wake(),
                Verdict::Close => client.socket.close(),
            }
        }
        let max_connections = (self.max_connections)();
        let target = max_connections - max_connections / FREE_PART;
        self.make_room(clients.len().saturating_sub(target));
    }

    /// Ends so many connections that are not in use, first those that have been idle for longest.
    pub(crate) fn make_room(&self, count: usize) {
        if count == 0 {
            return;
        }
        let mut evictable: Vec<Evictable> = self.clients().into_iter().filter_map(Evictable::of).collect();
        evictable.sort_by_key(|evictable| Reverse(evictable.idle.unwrap_or(Duration::MAX)));
        for Evictable { client, idle } in evictable.into_iter().take(count) {
            let has_lingered = || locked(&client.queue).idle_since.elapsed() >= LINGER / LINGER_PART_FOR_ROOM;
            if idle.is_none() && has_lingered() {
                client.socket.close();
            } else {
                locked(&client.queue).is_unwanted = true;
                client.socket.wake();
            }
        }
    }

    /// Ends the connection whose request has been incomplete for longest, among those that hold much.
    pub(crate) fn make_room_for_incomplete(&self) {
        let since = |client: &Arc<ClientConnection>| {
            let queue = locked(&client.queue);
            let holds_much = queue.incomplete.bytes() >= USUAL_REQUEST;
            queue.incomplete_since.filter(|_| holds_much && !queue.is_too_large)
        };
        let clients = self.clients();
        let candidates = clients.iter().filter_map(|client| Some((since(client)?, client)));
        if let Some((_, client)) = candidates.min_by_key(|(since, _)| *since) {
            locked(&client.queue).is_too_large = true;
            client.socket.wake();
        }
    }
}

impl Evictable {
    fn of(client: Arc<ClientConnection>) -> Option<Self> {
        let (has_ended, idle) = {
            let queue = locked(&client.queue);
            (queue.has_ended(), queue.evictable_for())
        };
        match (has_ended, idle) {
            (true, _) => Some(Self { client, idle: None }),
            (false, Some(idle)) => Some(Self { client, idle: Some(idle) }),
            (false, None) => None,
        }
    }
}

fn verdict(client: &ClientConnection, is_under_pressure: bool) -> Verdict {
    let mut queue = locked(&client.queue);
    let unread = client.socket.unsent();
    let is_growing = unread > MAX_UNREAD_UNDER_PRESSURE && unread >= queue.unread.bytes();
    queue.unread.resize(unread);
    let has_lingered = queue.has_ended() && queue.idle_since.elapsed() >= LINGER;
    if has_lingered || is_under_pressure && is_growing {
        return Verdict::Close;
    }
    if needs_attention(&queue) { Verdict::Wake } else { Verdict::Keep }
}

fn needs_attention(queue: &AnswerQueue) -> bool {
    queue.is_late() || queue.is_silent() || queue.is_ending
}
