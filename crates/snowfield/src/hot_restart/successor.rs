//! This process as the successor: taking over the listener, the state and the client connections of the predecessor.

use super::{HotRestart, MESSAGE_TIMEOUT, indices_in};
use crate::error::Error;
use exchange::{BackendId, PolicySnapshot};
use handover::{Admission, AdmissionJournal, BackendNumber, Message, PROTOCOL_VERSION, Peer};
use link::{Connection, Listener, lock_or_abort};
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::path::Path;
use std::sync::Arc;
use std::thread;

/// The predecessor after it has sent its state, and what this process takes over from it.
pub struct Predecessor {
    /// The listener for clients, inherited from the predecessor.
    pub listener: Listener,
    /// The connection over which the predecessor sends its client connections.
    pub peer: Arc<Peer>,
}

/// The content of a predecessor's [`Message::State`], with the listener that comes with the message.
struct PredecessorState {
    listener: Listener,
    policy_snapshot: Vec<u8>,
    backends: Vec<BackendNumber>,
    plans: Vec<String>,
    classes: Vec<String>,
    ejected: Vec<String>,
}

impl HotRestart {
    /// Takes over from the process whose upgrade socket is in this directory. From then on the predecessor admits no request.
    /// `None` without such a process, or if it does not hand over.
    pub fn take_over(&self, directory: &Path) -> Option<Predecessor> {
        let peer = self.connect_to_predecessor(directory)?;
        match self.request_and_apply_state(&peer) {
            Ok(listener) => Some(Predecessor { listener, peer }),
            Err(error) => {
                peer.close();
                self.ejections.set_peer(None);
                tracing::info!(%error, "hot restart failed, starting without the state of the predecessor");
                None
            }
        }
    }

    /// Connects to the process whose upgrade socket is in this directory. `None` without such a process.
    fn connect_to_predecessor(&self, directory: &Path) -> Option<Arc<Peer>> {
        let peer = Arc::new(Peer::connect(directory).ok()?);
        peer.send(&Message::Hello { version: PROTOCOL_VERSION }, None).ok()?;
        self.ejections.set_peer(Some(peer.clone()));
        Some(peer)
    }

    fn request_and_apply_state(&self, predecessor: &Peer) -> Result<Listener, Error> {
        let (journal, reader) = AdmissionJournal::open()?;
        predecessor.send(&Message::RequestState, Some(reader.as_fd()))?;
        let (message, descriptor) = self.receive_state(predecessor)?;
        let state = PredecessorState::from_message(message, descriptor)?;
        self.ejections.adopt(&state.ejected);
        // The journal starts before the snapshot is decoded, since decoding may fail: a journal without entries would tell the
        // predecessor that this process admitted nothing.
        self.write_journal(journal, &state.plans);
        self.apply_snapshot(&state);
        Ok(state.listener)
    }

    /// Receives the reply to [`Message::RequestState`], and handles messages about ejections until the reply arrives.
    fn receive_state(&self, predecessor: &Peer) -> Result<(Message, Option<OwnedFd>), Error> {
        loop {
            match predecessor.receive(Some(MESSAGE_TIMEOUT))? {
                (message @ (Message::SetEjected { .. } | Message::EjectionApplied { .. }), _) => {
                    self.ejections.handle_message(predecessor, message)
                }
                other => return Ok(other),
            }
        }
    }

    /// Starts to write each admission to the journal before its request is forwarded. The entry names the plan by its number in
    /// the predecessor.
    fn write_journal(&self, journal: AdmissionJournal, predecessor_plans: &[String]) {
        let plan_numbers = indices_in(&self.admin.names().plans, predecessor_plans);
        self.exchange.set_admission_listener(Some(Box::new(move |admission: exchange::Admission| {
            // The predecessor has no quota, and so no token bucket, for a plan that it does not know.
            if let Some(plan) = plan_numbers.get(admission.plan as usize).copied().flatten() {
                journal.append(&Admission {
                    tenant: admission.tenant.0,
                    plan: plan as u32,
                    tenant_gatekeepers: admission.tenant_gatekeepers,
                    units: admission.units,
                });
            }
        })));
    }

    /// Replaces the policy's state by the predecessor's snapshot. A snapshot that cannot be decoded is logged and ignored.
    fn apply_snapshot(&self, state: &PredecessorState) {
        let snapshot: PolicySnapshot = match postcard::from_bytes(&state.policy_snapshot) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                tracing::warn!(%error, "snapshot of the predecessor not readable, starting without it");
                return;
            }
        };
        let names = self.admin.names();
        let plans = indices_in(&state.plans, &names.plans);
        let classes = indices_in(&state.classes, &names.classes);
        let backends = self.map_backend_numbers(&state.backends);
        self.exchange.take_over(snapshot.remap(&backends, &plans, &classes));
    }

    /// Maps the predecessor's backend numbers to the numbers in this process. Backends that this process does not know are left
    /// out.
    fn map_backend_numbers(&self, predecessor_numbers: &[BackendNumber]) -> HashMap<BackendId, BackendId> {
        let endpoint_ids = lock_or_abort(&self.endpoint_ids);
        let numbers_in_both =
            |backend: &BackendNumber| Some((BackendId(backend.number), endpoint_ids.number(&backend.id)?));
        predecessor_numbers.iter().filter_map(numbers_in_both).collect()
    }

    /// Starts a thread that adopts the client connections of the predecessor until that process ends.
    pub fn adopt_connections_of(self: &Arc<Self>, predecessor: Arc<Peer>) {
        let restart = self.clone();
        thread::spawn(move || {
            let count = restart.adopt_connections(&predecessor);
            restart.ejections.set_peer(None);
            restart.exchange.set_admission_listener(None);
            tracing::warn!(count, "predecessor exited, its connections were taken over");
        });
    }

    /// Adopts client connections until the predecessor ends, and returns their number.
    fn adopt_connections(&self, predecessor: &Peer) -> usize {
        let mut count = 0;
        while let Ok((message, descriptor)) = predecessor.receive(None) {
            match (message, descriptor) {
                (Message::ClientConnection { partial_request }, Some(socket)) => {
                    if let Ok(connection) = Connection::new(TcpStream::from(socket)) {
                        self.front.adopt(connection, partial_request);
                        count += 1;
                    }
                }
                (message, _) => self.ejections.handle_message(predecessor, message),
            }
        }
        count
    }
}

impl PredecessorState {
    fn from_message(message: Message, descriptor: Option<OwnedFd>) -> Result<Self, Error> {
        let Message::State { policy_snapshot, backends, plans, classes, ejected } = message else {
            return Err(Error::UnexpectedMessage);
        };
        let listener = TcpListener::from(descriptor.ok_or(Error::NoListener)?);
        let listener = Listener::inherit(listener)?;
        Ok(Self { listener, policy_snapshot, backends, plans, classes, ejected })
    }
}
