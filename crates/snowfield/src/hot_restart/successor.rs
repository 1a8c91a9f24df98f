//! This process as the successor: taking over the listener, the state and the client connections of the predecessor.

use super::{HotRestart, MESSAGE_TIMEOUT, numbers_in};
use crate::endpoint_ids::{EjectionChange, UnknownId};
use crate::error::Error;
use exchange::{BackendId, PolicySnapshot};
use handover::{Admission, AdmissionJournal, BackendNumber, Message, PROTOCOL_VERSION, Peer};
use link::{Connection, Listener, locked};
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::path::Path;
use std::sync::Arc;
use std::thread;

/// A predecessor's [`Message::State`] with the listener that comes with it.
struct PredecessorState {
    listener: Listener,
    policy_snapshot: Vec<u8>,
    backends: Vec<BackendNumber>,
    plans: Vec<String>,
    classes: Vec<String>,
    ejected: Vec<String>,
}

impl HotRestart {
    /// Connects to the process that serves with this directory. `None` if there is none.
    pub fn connect_to_predecessor(&self, directory: &Path) -> Option<Arc<Peer>> {
        let predecessor = Arc::new(Peer::connect(directory).ok()?);
        predecessor.send(&Message::Hello { version: PROTOCOL_VERSION }, None).ok()?;
        self.admin.set_peer(Some(predecessor.clone()));
        Some(predecessor)
    }

    /// Takes over from a predecessor and returns its listener. From then on the predecessor admits no request.
    ///
    /// # Errors
    ///
    /// The predecessor did not hand over. The connection to it is closed.
    pub fn take_over(&self, predecessor: &Peer) -> Result<Listener, Error> {
        let result = self.request_and_apply_state(predecessor);
        if result.is_err() {
            predecessor.close();
            self.admin.set_peer(None);
        }
        result
    }

    fn request_and_apply_state(&self, predecessor: &Peer) -> Result<Listener, Error> {
        let (journal, reader) = AdmissionJournal::open()?;
        predecessor.send(&Message::RequestState, Some(reader.as_fd()))?;
        let (message, descriptor) = self.receive_state(predecessor)?;
        let state = PredecessorState::from_message(message, descriptor)?;
        for id in &state.ejected {
            self.admin.apply_ejection(id, EjectionChange::Eject, UnknownId::Register);
        }
        // Before the snapshot is decoded, which may fail: a journal that ends without entries says that nothing was admitted.
        self.write_journal(journal, &state.plans);
        self.apply_snapshot(&state);
        Ok(state.listener)
    }

    /// Receives the reply to [`Message::RequestState`], and handles messages about ejections until then.
    fn receive_state(&self, predecessor: &Peer) -> Result<(Message, Option<OwnedFd>), Error> {
        loop {
            match predecessor.receive(Some(MESSAGE_TIMEOUT))? {
                (message @ (Message::SetEjected { .. } | Message::EjectionApplied { .. }), _) => {
                    self.admin.handle_message(predecessor, message)
                }
                other => return Ok(other),
            }
        }
    }

    /// Starts journaling each admission before its request is forwarded, with the predecessor's number of the plan.
    fn write_journal(&self, journal: AdmissionJournal, predecessor_plans: &[String]) {
        let plan_numbers = numbers_in(&self.admin.names().plans, predecessor_plans);
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

    /// Replaces the policy's state by the predecessor's snapshot. One that cannot be decoded is ignored.
    fn apply_snapshot(&self, state: &PredecessorState) {
        let snapshot: PolicySnapshot = match postcard::from_bytes(&state.policy_snapshot) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                tracing::warn!(%error, "snapshot of the predecessor not readable, starting without it");
                return;
            }
        };
        let names = self.admin.names();
        let plans = numbers_in(&state.plans, &names.plans);
        let classes = numbers_in(&state.classes, &names.classes);
        let backends = self.map_backend_numbers(&state.backends);
        self.exchange.take_over(snapshot.remap(&backends, &plans, &classes));
    }

    /// Maps the predecessor's backend numbers to this process's. Backends that are unknown here are left out.
    fn map_backend_numbers(&self, predecessor_numbers: &[BackendNumber]) -> HashMap<BackendId, BackendId> {
        let endpoint_ids = locked(&self.endpoint_ids);
        let number_pair =
            |backend: &BackendNumber| Some((BackendId(backend.number), endpoint_ids.number(&backend.id)?));
        predecessor_numbers.iter().filter_map(number_pair).collect()
    }

    /// Starts a thread that adopts the client connections of the predecessor until that process ends.
    pub fn follow_predecessor(self: &Arc<Self>, predecessor: Arc<Peer>) {
        let restart = self.clone();
        thread::spawn(move || {
            let taken_over = restart.adopt_connections(&predecessor);
            restart.admin.set_peer(None);
            restart.exchange.set_admission_listener(None);
            tracing::warn!(count = taken_over, "predecessor exited, its connections were taken over");
        });
    }

    /// Adopts client connections until the predecessor ends, and returns their number.
    fn adopt_connections(&self, predecessor: &Peer) -> usize {
        let mut taken_over = 0;
        while let Ok((message, descriptor)) = predecessor.receive(None) {
            match (message, descriptor) {
                (Message::ClientConnection { partial_request }, Some(socket)) => {
                    if let Ok(connection) = Connection::new(TcpStream::from(socket)) {
                        self.front.adopt(connection, partial_request);
                        taken_over += 1;
                    }
                }
                (message, _) => self.admin.handle_message(predecessor, message),
            }
        }
        taken_over
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
