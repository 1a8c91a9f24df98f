//! The output of a replica: records to write, then messages to send.

use crate::ids::ReplicaId;
use crate::log::LogRecord;
use crate::message::Message;

/// A message and its recipient.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope<Recipient> {
    /// The recipient.
    pub to: Recipient,
    /// The message.
    pub message: Message,
}

/// Pending output of a replica. The caller handles the fields in their order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready {
    /// Records to write to disk before any message is sent. If writing fails, the caller drops the replica and sends nothing.
    pub records: Vec<LogRecord>,
    /// Messages to other replicas.
    pub to_replicas: Vec<Envelope<ReplicaId>>,
    /// Messages to clients, by client name.
    pub to_clients: Vec<Envelope<String>>,
    /// Whether the committed state has changed.
    pub state_changed: bool,
}

impl Ready {
    pub(super) fn send_to_replica(&mut self, to: ReplicaId, message: Message) {
        self.to_replicas.push(Envelope { to, message });
    }

    pub(super) fn send_to_client(&mut self, to: String, message: Message) {
        self.to_clients.push(Envelope { to, message });
    }
}
