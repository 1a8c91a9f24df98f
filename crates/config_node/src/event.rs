//! Events for the thread that owns a node's state.

use replicated_config::Message;
use std::fmt;
use std::sync::mpsc::SyncSender;

/// A connection that another node has opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// Prefix of a client name that identifies the client by its connection.
const CONNECTION_PREFIX: &str = "on ";

impl fmt::Display for ConnectionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{CONNECTION_PREFIX}{}", self.0)
    }
}

impl ConnectionId {
    /// Whether a client name stands for a connection; otherwise it is a node's name.
    pub(crate) fn is_client_name(client: &str) -> bool {
        client.starts_with(CONNECTION_PREFIX)
    }

    /// The connection that a client name stands for.
    pub(crate) fn from_client_name(client: &str) -> Option<Self> {
        client.strip_prefix(CONNECTION_PREFIX)?.parse().ok().map(Self)
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
