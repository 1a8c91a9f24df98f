//! The thread that receives gossip.

use crate::event::{Event, OfferResult, offer_datagram};
use membership::MAX_DATAGRAM_BYTES;
use std::io::ErrorKind;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::SyncSender;
use std::thread;

/// Starts a thread that receives datagrams until the coordinator ends. `dropped` counts the datagrams that found its queue
/// full.
pub(crate) fn start(socket: Arc<UdpSocket>, events: SyncSender<Event>, dropped: Arc<AtomicU64>) {
    thread::spawn(move || {
        // One more byte than the limit, to detect datagrams that are too large.
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
                // The operating system reports here that an earlier datagram had no receiver. The socket remains usable.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {}
                Err(error) => {
                    tracing::warn!(%error, "gossip receiver stopped, jobs continue by their leases alone");
                    return;
                }
            }
        }
    });
}
