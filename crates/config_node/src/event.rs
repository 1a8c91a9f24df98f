//! Events for the thread that owns a node's state.

use replicated_config::Message;
use std::fmt;
use std::sync::mpsc::SyncSender;

/// A connection that another node has opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// Prefix of a client name that stands for whoever is on a connection.
const CONNECTION_PREFIX: &str = "on ";

impl fmt::Display for ConnectionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{CONNECTION_PREFIX}{}", self.0)
    }
}

impl ConnectionId {
    /// The connection, where a client name stands for one: none for a node's name. The inner option is none where the rest of
    /// the name is no number.
    pub(crate) fn from_client_name(client: &str) -> Option<Option<Self>> {
        let number = client.strip_prefix(CONNECTION_PREFIX)?;
        Some(number.parse().ok().map(Self))
    }
}

/// An event for the thread that owns a node's state.
pub(crate) enum Event {
    /// Another node has opened a connection; messages to it go into the queue.
    Connected { connection: ConnectionId, queue: SyncSender<Message> },
    /// That connection is closed.
    Disconnected(ConnectionId),
    /// A message came: by a connection of the other side, or by one that this node has opened.
    Received { connection: Option<ConnectionId>, message: Message },
    /// The console asks for the status.
    StatusRequested(SyncSender<String>),
}
