//! The thread that receives gossip.

use crate::event::{Event, Offered, offer_datagram};
use membership::MAX_DATAGRAM_BYTES;
use std::io::ErrorKind;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::SyncSender;
use std::thread;

/// Starts a thread that receives datagrams until the coordinator ends. Datagrams dropped since its queue is full are
/// counted in `dropped`.
pub(crate) fn start(socket: Arc<UdpSocket>, events: SyncSender<Event>, dropped: Arc<AtomicU64>) {
    thread::spawn(move || {
        // One byte more, so that a datagram that is too large is recognized.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match socket.recv(&mut buffer) {
                Ok(length) if length <= MAX_DATAGRAM_BYTES => {
                    let offered = offer_datagram(&events, &dropped, buffer[..length].to_vec());
                    if offered == Offered::Disconnected {
                        return;
                    }
                }
                Ok(_) => {}
                // An earlier datagram that we sent had no receiver: the system reports it here, and it concerns nothing else.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {}
                Err(error) => {
                    tracing::warn!(%error, "gossip receiver stopped, jobs continue by their leases alone");
                    return;
                }
            }
        }
    });
}
