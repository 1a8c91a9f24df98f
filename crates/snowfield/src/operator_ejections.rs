//! Operators' ejections of backends: applied in this process, stored for later processes, and forwarded to the other process of
//! a hot restart.

mod file;
mod pending_calls;
mod store;

use crate::endpoint_ids::{EjectionChange, EndpointIds, UnknownIdHandling};
use destination::{BackendPools, RespProtocol};
use front_resp::RespExchange;
use handover::{Message, Peer};
use link::lock_or_abort;
use pending_calls::{PendingCall, PendingCalls};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use store::EjectionsStore;

/// Timeout for a call to the other process. An operator waits for up to 1 s in all.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Applies the ejections and restorations of operators.
pub struct OperatorEjections {
    exchange: Arc<RespExchange>,
    pools: Arc<BackendPools<RespProtocol>>,
    endpoint_ids: Arc<Mutex<EndpointIds>>,
    store: Option<EjectionsStore>,
    /// The other process of a hot restart: predecessor or successor.
    peer: Mutex<Option<Arc<Peer>>>,
    pending_calls: Mutex<PendingCalls>,
}

impl OperatorEjections {
    /// Creates the service without any ejection. Ejections are stored in `directory`; with `None` they are not stored.
    pub fn new(
        exchange: Arc<RespExchange>,
        pools: Arc<BackendPools<RespProtocol>>,
        endpoint_ids: Arc<Mutex<EndpointIds>>,
        directory: Option<PathBuf>,
    ) -> Self {
        let store = directory.map(|directory| EjectionsStore::new(directory, endpoint_ids.clone()));
        let (peer, pending_calls) = (Mutex::default(), Mutex::default());
        Self { exchange, pools, endpoint_ids, store, peer, pending_calls }
    }

    /// Ejects the backends in the file that an earlier process wrote. A damaged file is logged and ignored.
    pub fn restore(&self) {
        let Some(store) = &self.store else { return };
        match store.read() {
            Ok(ids) => self.adopt(&ids),
            Err(error) => tracing::warn!(%error, "ejections file not usable"),
        }
    }

    /// Ejects the backends with these ids, which an earlier process has ejected.
    pub fn adopt(&self, ids: &[String]) {
        for id in ids {
            self.apply(id, EjectionChange::Eject, UnknownIdHandling::Register);
        }
    }

    /// Whether an ejection or restoration is in force that is not yet written to the file.
    pub fn is_store_pending(&self) -> bool {
        self.store.as_ref().is_some_and(EjectionsStore::is_pending)
    }

    /// Sets the other process of a hot restart; `None` once that process has ended.
    pub fn set_peer(&self, peer: Option<Arc<Peer>>) {
        *lock_or_abort(&self.peer) = peer;
        lock_or_abort(&self.pending_calls).cancel_all();
    }

    /// Handles a message of the other process about ejections; ignores any other message.
    pub fn handle_message(&self, peer: &Peer, message: Message) {
        match message {
            Message::SetEjected { call, id, ejected, known_to_sender } => {
                let change = if ejected { EjectionChange::Eject } else { EjectionChange::Restore };
                let unknown_id =
                    if known_to_sender { UnknownIdHandling::Register } else { UnknownIdHandling::Reject };
                let applied = self.apply(&id, change, unknown_id);
                // `send` fails if the other process has ended.
                let _ = peer.send(&Message::EjectionApplied { call, applied }, None);
            }
            Message::EjectionApplied { call, applied } => {
                lock_or_abort(&self.pending_calls).complete(call, applied)
            }
            _ => {}
        }
    }

    /// Applies an operator's change in this process and in the other process of a hot restart. Returns whether one of them has
    /// the backend.
    pub fn change_ejection(&self, id: &str, change: EjectionChange) -> bool {
        let known_here = self.apply(id, change, UnknownIdHandling::Reject);
        let peer = lock_or_abort(&self.peer).clone();
        let known_to_peer = peer.is_some_and(|peer| self.forward(&peer, id, change, known_here));
        // The endpoint lists of the two processes may differ for a short time. A change of a backend that one process has applies
        // in both.
        if known_to_peer && !known_here {
            self.apply(id, change, UnknownIdHandling::Register);
        }
        known_here || known_to_peer
    }

    /// Sends a change to the other process, and returns whether that process has applied it. `known_here` says that this process
    /// has the backend.
    fn forward(&self, peer: &Peer, id: &str, change: EjectionChange, known_here: bool) -> bool {
        let PendingCall { call, reply } = lock_or_abort(&self.pending_calls).start();
        let ejected = change == EjectionChange::Eject;
        let message = Message::SetEjected { call, id: id.to_owned(), ejected, known_to_sender: known_here };
        let applied = peer.send(&message, None).is_ok() && reply.recv_timeout(PEER_TIMEOUT).unwrap_or(false);
        lock_or_abort(&self.pending_calls).cancel(call);
        applied
    }

    /// Applies a change in this process. Returns whether it was applied; see [`EndpointIds::change_ejection`].
    fn apply(&self, id: &str, change: EjectionChange, unknown_id: UnknownIdHandling) -> bool {
        // The ids stay locked until the end of this function, so that the pools, the policy and the file get concurrent changes
        // of one backend in the same order.
        let mut endpoint_ids = lock_or_abort(&self.endpoint_ids);
        let Some(backend) = endpoint_ids.change_ejection(id, change, unknown_id) else { return false };
        let ejected = change == EjectionChange::Eject;
        // The pools come first: they reject attempts that the policy decided on before an ejection, and they accept attempts
        // before the policy decides on the first one after a restoration.
        self.pools.set_operator_ejection(backend, ejected);
        self.exchange.set_operator_ejection(backend, ejected);
        if let Some(store) = &self.store {
            store.store(&endpoint_ids);
        }
        match change {
            EjectionChange::Eject => tracing::info!(backend = id, "backend ejected by an operator"),
            EjectionChange::Restore => tracing::info!(backend = id, "backend restored by an operator"),
        }
        true
    }
}
