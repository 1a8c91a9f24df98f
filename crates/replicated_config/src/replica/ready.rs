//! The output of a replica: records to write, then messages to send.

use crate::ids::ReplicaId;
use crate::log::LogRecord;
use crate::message::Message;

/// A message and its recipient.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope<Recipient> {
    /// The id of the receiving replica, or the name of the receiving client.
    pub to: Recipient,
    /// The message, not yet encoded or authenticated.
    pub message: Message,
}

/// Pending output of a replica. The caller handles the fields in the order of their declaration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready {
    /// Records to write to disk before any message is sent. If writing fails, the caller drops the replica and sends nothing.
    pub records: Vec<LogRecord>,
    /// Messages to other replicas.
    pub to_replicas: Vec<Envelope<ReplicaId>>,
    /// Messages to clients, by client name.
    pub to_clients: Vec<Envelope<String>>,
    /// Whether the replicated state has changed since the previous `Ready`.
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
