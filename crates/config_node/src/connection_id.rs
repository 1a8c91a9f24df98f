//! Identifies connections that other nodes have opened, also as names of the clients at their other ends.

use std::fmt;

/// A connection that another node has opened.
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
    /// Returns whether a client name identifies a connection. Otherwise it is the name of a node.
    pub(crate) fn is_client_name(client: &str) -> bool {
        client.starts_with(CLIENT_NAME_PREFIX)
    }

    /// Returns the connection that a client name identifies.
    pub(crate) fn from_client_name(client: &str) -> Option<Self> {
        client.strip_prefix(CLIENT_NAME_PREFIX)?.parse().ok().map(Self)
    }
}
