//! Connections that other nodes have opened to this node, and the clients at their other ends.

use crate::connection_id::ConnectionId;
use crate::message_queue::MessageQueue;
use replicated_config::Message;
use std::collections::HashMap;

/// The open connections of clients, and the connection over which each client is reached.
#[derive(Default)]
pub(crate) struct ClientConnections {
    queues: HashMap<ConnectionId, MessageQueue>,
    /// The connection on which each client's last lease request arrived, by the client's name.
    routes: HashMap<String, ConnectionId>,
}

impl ClientConnections {
    pub(crate) fn insert(&mut self, connection: ConnectionId, queue: MessageQueue) {
        self.queues.insert(connection, queue);
    }

    /// Removes a closed connection and the routes over it.
    pub(crate) fn remove(&mut self, connection: ConnectionId) {
        self.queues.remove(&connection);
        self.routes.retain(|_, route| *route != connection);
    }

    /// Makes `connection` the one over which all further messages to `client` are sent.
    pub(crate) fn set_route(&mut self, client: &str, connection: ConnectionId) {
        self.routes.insert(client.to_owned(), connection);
    }

    /// Sends a message to a client, named by its node or its connection. Drops the message if the client is not connected.
    pub(crate) fn send(&self, client: &str, message: Message) {
        let connection = if ConnectionId::is_client_name(client) {
            ConnectionId::from_client_name(client)
        } else {
            self.routes.get(client).copied()
        };
        if let Some(queue) = connection.and_then(|connection| self.queues.get(&connection)) {
            queue.send(message);
        }
    }
}

#[cfg(test)]
mod tests;
