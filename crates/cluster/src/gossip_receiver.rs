//! The thread that receives gossip datagrams and queues them for the coordinator.

use crate::event::{Event, OfferResult, offer_datagram};
use membership::MAX_DATAGRAM_BYTES;
use std::io::ErrorKind;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::SyncSender;
use std::thread;

/// Starts a thread that receives datagrams until the coordinator ends. `dropped` counts the datagrams that were dropped
/// because the event queue was full.
pub(crate) fn start(socket: Arc<UdpSocket>, events: SyncSender<Event>, dropped: Arc<AtomicU64>) {
    thread::spawn(move || {
        // The buffer exceeds the limit by one byte, to detect datagrams that are too large.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match socket.recv(&mut buffer) {
                Ok(length) if length <= MAX_DATAGRAM_BYTES => {
                    let result = offer_datagram(&events, &dropped, buffer[..length].to_vec());
                    if result == OfferResult::Disconnected {
                        return;
                    }
                }
                Ok(_) => {}
                // The operating system reports here that an earlier datagram was sent to a closed port. The socket stays usable.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {}
                Err(error) => {
                    tracing::warn!(%error, "gossip receiver stopped, jobs continue by their leases alone");
                    return;
                }
            }
        }
    });
}
