//! Ids of connections that other nodes have opened. An id also serves as the name of the client at the other end.

use std::fmt;

/// Identifies a connection that another node has opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// Prefix of a client name that identifies the client by its connection.
const CLIENT_NAME_PREFIX: &str = "on ";

impl fmt::Display for ConnectionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{CLIENT_NAME_PREFIX}{}", self.0)
    }
}

impl ConnectionId {
    /// Returns whether a client name identifies a connection. Any other client name is the name of a node.
    pub(crate) fn is_client_name(client: &str) -> bool {
        client.starts_with(CLIENT_NAME_PREFIX)
    }

    /// Returns the connection that a client name identifies, or `None` if the name is not that of a connection.
    pub(crate) fn from_client_name(client: &str) -> Option<Self> {
        client.strip_prefix(CLIENT_NAME_PREFIX)?.parse().ok().map(Self)
    }
}
