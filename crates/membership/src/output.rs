//! The outputs and counters of [`Membership`](crate::Membership).

use std::net::SocketAddr;

/// An action or event for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    SendDatagram {
        /// The receiver.
        to: SocketAddr,
        /// The authenticated datagram.
        bytes: Vec<u8>,
    },
    /// The set of live members has changed.
    MembersChanged,
    /// A broadcast of another member was received, newer than the known version of its topic.
    Broadcast {
        /// The topic.
        topic: String,
        /// The version.
        version: u64,
        /// The content.
        body: Vec<u8>,
    },
    /// Other members had declared this instance dead, and it has rejoined with a new generation.
    Rejoined {
        /// The new generation.
        generation: u64,
    },
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes sent in datagrams.
    pub bytes_sent: u64,
    /// Datagrams accepted.
    pub datagrams_accepted: u64,
    /// Datagrams dropped because their authentication code was invalid.
    pub authentication_failures: u64,
    /// Authentic datagrams that could not be decoded or applied.
    pub malformed: u64,
    /// Members and topics dropped because a bound was reached.
    pub over_capacity: u64,
}
