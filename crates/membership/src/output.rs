//! What [`Membership`](crate::Membership) asks its driver to do, and what it counts.

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
    /// A broadcast that this instance did not have.
    Broadcast {
        /// Its topic.
        topic: String,
        /// Its version.
        version: u64,
        /// Its content.
        body: Vec<u8>,
    },
    /// Others had declared this instance dead; it has rejoined under a new generation.
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
    /// Bytes of the datagrams sent.
    pub bytes_sent: u64,
    /// Datagrams accepted.
    pub datagrams_accepted: u64,
    /// Datagrams dropped since their authentication code was wrong.
    pub authentication_failures: u64,
    /// Authentic datagrams that could not be used.
    pub malformed: u64,
    /// Members and topics dropped since a bound was reached.
    pub over_capacity: u64,
}
