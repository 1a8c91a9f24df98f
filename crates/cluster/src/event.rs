//! The events of the coordinator.

use crate::run_executor::FinishedRun;
use crate::settings::{Backend, HttpJob};
use membership::authentication::Keyring;
use periodic_jobs::StoreResponse;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError};

/// An input of the coordinator, which arrives through the bounded event queue.
#[derive(Debug)]
pub(crate) enum Event {
    DatagramReceived(Vec<u8>),
    StoreResponded(StoreResponse),
    RunFinished(FinishedRun),
    HttpJobsChanged(Vec<HttpJob>),
    KeyringChanged(Keyring),
    BackendsChanged(Vec<Backend>),
    StatusRequested(SyncSender<String>),
    /// A request to leave the cluster. The sender is notified once the lease store session has ended.
    LeaveRequested(SyncSender<()>),
}

/// The result of [`offer_datagram`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OfferResult {
    /// The datagram was queued, or it was dropped and counted because the queue was full. Gossip tolerates such losses.
    Handled,
    /// The coordinator has ended, so no further datagrams will be handled.
    Disconnected,
}

/// Queues a datagram for the coordinator, or drops and counts it if the queue is full.
pub(crate) fn offer_datagram(
    events: &SyncSender<Event>,
    dropped: &AtomicU64,
    datagram: Vec<u8>,
) -> OfferResult {
    match events.try_send(Event::DatagramReceived(datagram)) {
        Ok(()) => OfferResult::Handled,
        Err(TrySendError::Full(_)) => {
            dropped.fetch_add(1, Ordering::Relaxed);
            OfferResult::Handled
        }
        Err(TrySendError::Disconnected(_)) => OfferResult::Disconnected,
    }
}
