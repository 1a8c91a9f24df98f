//! Operators' ejections of backends: applied in this process, stored for later processes, and forwarded to the other process of
//! a hot restart.

mod file;
mod pending_calls;
mod store;

use crate::endpoint_ids::{EjectionChange, EndpointIds, UnknownId};
use destination::{BackendPools, RespProtocol};
use front_resp::RespExchange;
use handover::{Message, Peer};
use link::locked;
use pending_calls::{PendingCall, PendingCalls};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use store::EjectionsStore;

/// Time-out for a call to the other process. An operator waits for up to 1 s in all.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Applies operators' ejections.
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
    /// Starts without any ejection. They are stored in `directory`, or not at all.
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

    /// Ejects the backends that an earlier process stored. A damaged file is logged and ignored.
    pub fn restore(&self) {
        let Some(store) = &self.store else { return };
        match store.read() {
            Ok(ids) => self.adopt(&ids),
            Err(error) => tracing::warn!(%error, "ejections file not usable"),
        }
    }

    /// Ejects the backends that an earlier process has ejected.
    pub fn adopt(&self, ids: &[String]) {
        for id in ids {
            self.apply(id, EjectionChange::Eject, UnknownId::Register);
        }
    }

    /// Whether a change is not stored yet.
    pub fn is_store_pending(&self) -> bool {
        self.store.as_ref().is_some_and(EjectionsStore::is_pending)
    }

    /// Sets the other process of a hot restart; `None` once that process has ended.
    pub fn set_peer(&self, peer: Option<Arc<Peer>>) {
        *locked(&self.peer) = peer;
        locked(&self.pending_calls).cancel_all();
    }

    /// Handles a message of the other process about ejections; ignores any other message.
    pub fn handle_message(&self, peer: &Peer, message: Message) {
        match message {
            Message::SetEjected { call, id, ejected, known } => {
                let change = if ejected { EjectionChange::Eject } else { EjectionChange::Restore };
                let unknown_id = if known { UnknownId::Register } else { UnknownId::Reject };
                let applied = self.apply(&id, change, unknown_id);
                // Fails if the other process has ended and waits for no reply.
                let _ = peer.send(&Message::EjectionApplied { call, applied }, None);
            }
            Message::EjectionApplied { call, applied } => locked(&self.pending_calls).complete(call, applied),
            _ => {}
        }
    }

    /// Applies an operator's change in this process and in the other process of a hot restart. Returns whether one of them has the
    /// backend.
    pub fn change(&self, id: &str, change: EjectionChange) -> bool {
        let known_here = self.apply(id, change, UnknownId::Reject);
        let peer = locked(&self.peer).clone();
        let known_to_peer = peer.is_some_and(|peer| self.forward(&peer, id, change, known_here));
        // The endpoint lists of two processes may differ for a moment: a backend that one of them has binds both.
        if known_to_peer && !known_here {
            self.apply(id, change, UnknownId::Register);
        }
        known_here || known_to_peer
    }

    /// Has the other process apply a change, and returns whether it has. `known_here` tells it that this process has the backend.
    fn forward(&self, peer: &Peer, id: &str, change: EjectionChange, known_here: bool) -> bool {
        let PendingCall { call, reply } = locked(&self.pending_calls).start();
        let ejected = change == EjectionChange::Eject;
        let message = Message::SetEjected { call, id: id.to_owned(), ejected, known: known_here };
        let applied = peer.send(&message, None).is_ok() && reply.recv_timeout(PEER_TIMEOUT).unwrap_or(false);
        locked(&self.pending_calls).cancel(call);
        applied
    }

    /// Applies a change in this process. Returns whether the change applies to this id.
    fn apply(&self, id: &str, change: EjectionChange, unknown_id: UnknownId) -> bool {
        // Locked throughout, so that two changes of one backend are applied in the same order everywhere.
        let mut endpoint_ids = locked(&self.endpoint_ids);
        let Some(backend) = endpoint_ids.change_ejection(id, change, unknown_id) else { return false };
        let ejected = change == EjectionChange::Eject;
        // The pools come first: they reject attempts that the policy decided on before an ejection, and accept attempts before the
        // policy decides on the first one after a restoration.
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
