//! The coordinator's events.

use crate::run_executor::FinishedRun;
use crate::settings::{Backend, HttpJob};
use crate::store_client::StoreResponse;
use membership::authentication::Keyring;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError};

/// An event for the coordinator.
#[derive(Debug)]
pub(crate) enum Event {
    DatagramReceived(Vec<u8>),
    StoreResponded(StoreResponse),
    RunFinished(FinishedRun),
    HttpJobsChanged(Vec<HttpJob>),
    KeyringChanged(Keyring),
    BackendsChanged(Vec<Backend>),
    StatusRequested(SyncSender<String>),
    /// The sender is notified when the session has ended.
    LeaveRequested(SyncSender<()>),
}

/// What became of a datagram offered to the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Offered {
    /// It was queued, or dropped and counted since the queue is full: gossip tolerates the loss.
    Handled,
    /// The coordinator has ended.
    Disconnected,
}

/// Queues a datagram, or drops and counts it.
pub(crate) fn offer_datagram(events: &SyncSender<Event>, dropped: &AtomicU64, datagram: Vec<u8>) -> Offered {
    match events.try_send(Event::DatagramReceived(datagram)) {
        Ok(()) => Offered::Handled,
        Err(TrySendError::Full(_)) => {
            dropped.fetch_add(1, Ordering::Relaxed);
            Offered::Handled
        }
        Err(TrySendError::Disconnected(_)) => Offered::Disconnected,
    }
}
