//! Datagrams from and to the other instances.

use crate::brain::Event;
use crate::offer;
use std::io::ErrorKind;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::SyncSender;
use std::thread;

/// Hears datagrams until the brain is gone.
pub(crate) fn hear(socket: Arc<UdpSocket>, events: SyncSender<Event>, dropped: Arc<AtomicU64>) {
    thread::spawn(move || {
        // One byte more, so that what is too large is seen to be.
        let mut buffer = vec![0; membership::MAX_DATAGRAM_BYTES + 1];
        loop {
            match socket.recv(&mut buffer) {
                Ok(n) if n <= membership::MAX_DATAGRAM_BYTES => {
                    if !offer(&events, &dropped, buffer[..n].to_vec()) {
                        return;
                    }
                }
                Ok(_) => {}
                // A datagram that we sent found nobody: the system says so here, and it concerns nothing else.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {}
                Err(e) => {
                    tracing::warn!(
                        "cluster: gossip is heard no more ({e}); duties go on by their claims alone"
                    );
                    return;
                }
            }
        }
    });
}
