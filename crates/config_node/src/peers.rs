//! The queues and threads through which this node sends messages to the other replicas.

use crate::config::NodeConfig;
use crate::connection::{self, ConnectionContext};
use crate::error::Error;
use crate::message_queue::MessageQueue;
use replicated_config::ReplicaId;

/// The queues of messages to the other replicas.
pub(crate) struct Peers {
    /// One queue per replica, in the order of the configured list; `None` for this node itself.
    queues: Vec<Option<MessageQueue>>,
}

impl Peers {
    /// Starts a sending thread for each replica other than this node.
    pub(crate) fn start(config: &NodeConfig, context: &ConnectionContext) -> Result<Self, Error> {
        let mut queues = Vec::new();
        for replica in &config.replicas {
            let queue = if replica.name == config.name {
                None
            } else {
                let queue = connection::start_sender(replica.address, context.clone());
                Some(queue.map_err(Error::Thread)?)
            };
            queues.push(queue);
        }
        Ok(Self { queues })
    }

    /// Returns the queue of messages to a replica, or `None` if the replica is this node itself or not configured.
    pub(crate) fn queue(&self, replica: ReplicaId) -> Option<&MessageQueue> {
        replica.index().and_then(|index| self.queues.get(index))?.as_ref()
    }
}
