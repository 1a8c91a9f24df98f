//! This process as the successor: it takes over the listener, the state and the client connections.

use super::{HotRestart, STEP_TIMEOUT, numbers_in};
use crate::error::Error;
use exchange::{BackendId, PolicySnapshot};
use handover::{Admission, AdmissionJournal, BackendNumber, Message, Peer};
use link::{Connection, Listener, locked};
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;
use std::thread;

/// What a predecessor sends in [`Message::State`].
struct PredecessorState {
    listener: Listener,
    policy_snapshot: Vec<u8>,
    backends: Vec<BackendNumber>,
    plans: Vec<String>,
    classes: Vec<String>,
    ejected: Vec<String>,
}

impl HotRestart {
    /// Takes over from a predecessor. When this returns the predecessor admits nothing any more, and its listener is here.
    ///
    /// # Errors
    ///
    /// The predecessor did not hand over. The connection to it is closed then.
    pub fn take_over(&self, predecessor: &Arc<Peer>) -> Result<Listener, Error> {
        let taken = self.request_and_apply_state(predecessor);
        if taken.is_err() {
            predecessor.close();
            self.admin.set_peer(None);
        }
        taken
    }

    fn request_and_apply_state(&self, predecessor: &Peer) -> Result<Listener, Error> {
        let (journal, reader) = AdmissionJournal::open()?;
        predecessor.send(&Message::RequestState, Some(reader.as_fd()))?;
        let (message, descriptor) = self.receive_state(predecessor)?;
        let state = PredecessorState::from_message(message, descriptor)?;
        for id in &state.ejected {
            self.admin.apply_ejection(id, true, true);
        }
        // Whether or not the rest can be read: a journal that ends without entries says that nothing was admitted.
        self.write_journal(journal, &state.plans);
        self.apply_snapshot(&state);
        Ok(state.listener)
    }

    /// The first message that is not about ejections.
    fn receive_state(&self, predecessor: &Peer) -> Result<(Message, Option<OwnedFd>), Error> {
        loop {
            match predecessor.receive(Some(STEP_TIMEOUT))? {
                (message @ (Message::SetEjected { .. } | Message::EjectionApplied { .. }), _) => {
                    self.admin.handle_message(predecessor, message)
                }
                other => return Ok(other),
            }
        }
    }

    /// Journals what is admitted from now on, before it is forwarded, by the predecessor's numbers of plans.
    fn write_journal(&self, journal: AdmissionJournal, predecessor_plans: &[String]) {
        let plan_numbers = numbers_in(&self.admin.names().plans, predecessor_plans);
        self.exchange.set_admission_listener(Some(Box::new(move |admission: exchange::Admission| {
            // A plan that the predecessor does not have has no quota there.
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

    /// Has the policy continue from the predecessor's snapshot, if that can be read.
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
        let backends = self.backend_numbers(&state.backends);
        self.exchange.take_over(snapshot.remap(&backends, &plans, &classes));
    }

    /// For each of the predecessor's numbers the one here.
    fn backend_numbers(&self, theirs: &[BackendNumber]) -> HashMap<BackendId, BackendId> {
        let endpoint_ids = locked(&self.endpoint_ids);
        let pair =
            |backend: &BackendNumber| Some((BackendId(backend.number), endpoint_ids.number(&backend.id)?));
        theirs.iter().filter_map(pair).collect()
    }

    /// Starts taking the client connections that the predecessor passes on, until it ends.
    pub fn follow_predecessor(self: &Arc<Self>, predecessor: Arc<Peer>) {
        let restart = self.clone();
        thread::spawn(move || {
            let taken_over = restart.take_connections(&predecessor);
            restart.admin.set_peer(None);
            restart.exchange.set_admission_listener(None);
            tracing::warn!(count = taken_over, "predecessor exited, its connections were taken over");
        });
    }

    /// Returns how many connections were taken over when the predecessor ends.
    fn take_connections(&self, predecessor: &Peer) -> usize {
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
