//! Events that other threads send to the thread that owns a node's state.

use crate::connection_id::ConnectionId;
use crate::message_queue::MessageQueue;
use replicated_config::Message;
use std::sync::mpsc::SyncSender;

/// An event for the thread that owns a node's state.
pub(crate) enum Event {
    /// Another node has opened a connection. Messages for that node are put into `queue`.
    Connected { connection: ConnectionId, queue: MessageQueue },
    /// A connection that another node had opened is closed.
    Disconnected(ConnectionId),
    /// A message arrived. `connection` is the id of the connection on which it arrived, or `None` if this node opened that
    /// connection.
    Received { connection: Option<ConnectionId>, message: Message },
    /// The admin console requests the status, which is sent to this channel.
    StatusRequested(SyncSender<String>),
}
