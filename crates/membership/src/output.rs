//! The outputs and counters of [`Membership`](crate::Membership).

use std::net::SocketAddr;

/// An action or event for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    SendDatagram {
        /// The gossip address of the receiving member.
        to: SocketAddr,
        /// The payload with its authentication code, at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES) long.
        bytes: Vec<u8>,
    },
    /// Another member joined, failed, left or changed its identity.
    MembersChanged,
    /// A broadcast of another member was received. Its version is newer than the known version of its topic.
    Broadcast {
        /// The name of the topic, chosen by the member that made the broadcast.
        topic: String,
        /// The version, which orders the broadcasts on a topic.
        version: u64,
        /// The content as passed to [`Membership::broadcast`](crate::Membership::broadcast).
        body: Vec<u8>,
    },
    /// Other members had declared this instance dead, and it has rejoined with a new generation.
    Rejoined {
        /// The generation in this instance's new identity.
        generation: u64,
    },
}

/// Counters since the creation of a [`Membership`](crate::Membership).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams passed to the driver for sending, whether or not the network delivers them.
    pub datagrams_sent: u64,
    /// The total size of the sent datagrams, authentication codes included and UDP headers excluded.
    pub bytes_sent: u64,
    /// Authentic datagrams that were processed, including SWIM messages that then turned out to be malformed.
    pub datagrams_accepted: u64,
    /// Datagrams dropped because they were too large, in an unknown format or not signed with a key of the cluster.
    pub authentication_failures: u64,
    /// Authentic datagrams that could not be decoded, and other calls that the SWIM state machine rejected.
    pub malformed: u64,
    /// SWIM messages received while the limit on known members was reached, including messages from known members, and
    /// broadcasts dropped because the limit on topics was reached.
    pub over_capacity: u64,
}
