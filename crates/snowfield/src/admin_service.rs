//! The admin service: executes operators' commands, and applies ejections that come from the other process of a hot restart.

use crate::admin_listener::{AdminError, AdminHandler};
use crate::ejections_file;
use crate::ejections_store::EjectionsStore;
use crate::endpoint_ids::{EjectionChange, EndpointIds, UnknownId};
use destination::{BackendPools, RespProtocol};
use front_resp::RespExchange;
use handover::{Message, Peer};
use invariants::Guard;
use link::locked;
use operator::{ClassMetrics, Metrics, RejectionCount, ViolationCount};
use policy::RejectReason;
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time-out for a call to the other process. An operator waits for up to 1 s in all.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether this process accepts clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Starting,
    Ready,
    Ending,
}

/// Names of all classes and plans since the start, by number.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the plans.
    pub plans: Vec<String>,
}

/// Calls to the other process that wait for their reply.
#[derive(Default)]
struct PendingCalls {
    last_call: u64,
    replies: HashMap<u64, Sender<bool>>,
}

/// A call to the other process.
struct PendingCall {
    /// The number of the call, which the reply returns.
    call: u64,
    /// Receives whether the other process has applied the change. Disconnected if the other process ends.
    reply: Receiver<bool>,
}

impl PendingCalls {
    fn start(&mut self) -> PendingCall {
        let (sender, reply) = channel();
        self.last_call += 1;
        self.replies.insert(self.last_call, sender);
        PendingCall { call: self.last_call, reply }
    }

    fn complete(&mut self, call: u64, applied: bool) {
        if let Some(reply) = self.replies.remove(&call) {
            // Fails if the call has timed out meanwhile.
            let _ = reply.send(applied);
        }
    }

    fn cancel(&mut self, call: u64) {
        self.replies.remove(&call);
    }

    /// Fails all calls at once, since no reply will come.
    fn cancel_all(&mut self) {
        self.replies.clear();
    }
}

/// Executes operators' commands.
pub struct AdminService {
    exchange: Arc<RespExchange>,
    pools: Arc<BackendPools<RespProtocol>>,
    endpoint_ids: Arc<Mutex<EndpointIds>>,
    names: Mutex<Names>,
    /// Where ejections are stored for the next process.
    store: Option<EjectionsStore>,
    /// The other process of a hot restart, predecessor or successor.
    peer: Mutex<Option<Arc<Peer>>>,
    pending_calls: Mutex<PendingCalls>,
    phase: Mutex<Phase>,
    reloads: AtomicU64,
    reload_errors: AtomicU64,
}

impl AdminService {
    /// Creates a service that is not ready yet. `directory` is where it stores ejections.
    pub fn new(
        exchange: Arc<RespExchange>,
        pools: Arc<BackendPools<RespProtocol>>,
        endpoint_ids: Arc<Mutex<EndpointIds>>,
        directory: Option<PathBuf>,
    ) -> Self {
        let store = directory.map(|directory| EjectionsStore::new(directory, endpoint_ids.clone()));
        Self {
            exchange,
            pools,
            endpoint_ids,
            names: Mutex::default(),
            store,
            peer: Mutex::default(),
            pending_calls: Mutex::default(),
            phase: Mutex::default(),
            reloads: AtomicU64::default(),
            reload_errors: AtomicU64::default(),
        }
    }

    /// Sets the names of the classes and plans.
    pub fn set_names(&self, names: Names) {
        *locked(&self.names) = names;
    }

    /// Names of the classes and plans.
    pub fn names(&self) -> Names {
        locked(&self.names).clone()
    }

    /// Applies the ejections that an earlier process stored. A damaged file is logged and ignored.
    pub fn restore_ejections(&self) {
        let Some(store) = &self.store else { return };
        match ejections_file::read(store.directory()) {
            Ok(ids) => {
                for id in ids {
                    self.apply_ejection(&id, EjectionChange::Eject, UnknownId::Register);
                }
            }
            Err(error) => tracing::warn!(%error, "ejections file not usable"),
        }
    }

    /// Sets the other process of a hot restart; `None` once that process has ended.
    pub fn set_peer(&self, peer: Option<Arc<Peer>>) {
        *locked(&self.peer) = peer;
        locked(&self.pending_calls).cancel_all();
    }

    /// Whether this process is shutting down.
    pub fn is_ending(&self) -> bool {
        *locked(&self.phase) == Phase::Ending
    }

    /// Handles a message of the other process about ejections; ignores any other message.
    pub fn handle_message(&self, peer: &Peer, message: Message) {
        match message {
            Message::SetEjected { call, id, ejected, known } => {
                let change = if ejected { EjectionChange::Eject } else { EjectionChange::Restore };
                let unknown_id = if known { UnknownId::Register } else { UnknownId::Reject };
                let applied = self.apply_ejection(&id, change, unknown_id);
                // Fails if the other process has ended and waits for no reply.
                let _ = peer.send(&Message::EjectionApplied { call, applied }, None);
            }
            Message::EjectionApplied { call, applied } => {
                locked(&self.pending_calls).complete(call, applied);
            }
            _ => {}
        }
    }

    /// Has the other process apply a change, and returns whether it has. `known` tells it that this process has the backend.
    fn forward_ejection(&self, peer: &Peer, id: &str, change: EjectionChange, known: bool) -> bool {
        let PendingCall { call, reply } = locked(&self.pending_calls).start();
        let ejected = change == EjectionChange::Eject;
        let message = Message::SetEjected { call, id: id.to_owned(), ejected, known };
        let applied = peer.send(&message, None).is_ok() && reply.recv_timeout(PEER_TIMEOUT).unwrap_or(false);
        locked(&self.pending_calls).cancel(call);
        applied
    }

    /// Ejects or restores a backend in this process. Returns whether the change applies to this id.
    pub fn apply_ejection(&self, id: &str, change: EjectionChange, unknown_id: UnknownId) -> bool {
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
        if ejected {
            tracing::info!(backend = id, "backend ejected by an operator");
        } else {
            tracing::info!(backend = id, "backend restored by an operator");
        }
        true
    }

    /// Reports this process as ready from now on.
    pub fn set_ready(&self) {
        *locked(&self.phase) = Phase::Ready;
    }

    /// Reports this process as shutting down from now on.
    pub fn set_ending(&self) {
        *locked(&self.phase) = Phase::Ending;
    }

    /// Counts a reload of the configuration.
    pub fn count_reload(&self, accepted: bool) {
        let count = if accepted { &self.reloads } else { &self.reload_errors };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Outcomes of requests by class name. A class that was removed and added again with other settings has
    /// several numbers under one name.
    fn class_metrics(&self, outcomes: &exchange::OutcomeCounts) -> Vec<ClassMetrics> {
        let mut classes: Vec<ClassMetrics> = Vec::new();
        for (name, counts) in locked(&self.names).classes.iter().zip(&outcomes.classes) {
            let index = classes.iter().position(|class| class.name == *name).unwrap_or_else(|| {
                classes.push(ClassMetrics { name: name.clone(), ..ClassMetrics::default() });
                classes.len() - 1
            });
            let class = &mut classes[index];
            class.completed += counts.served;
            class.rejected += counts.rejected;
            class.failed += counts.failed;
        }
        classes
    }
}

impl AdminHandler for AdminService {
    fn check_ready(&self) -> Result<(), AdminError> {
        match *locked(&self.phase) {
            Phase::Starting => Err(AdminError::Starting),
            Phase::Ready => Ok(()),
            Phase::Ending => Err(AdminError::Ending),
        }
    }

    fn metrics(&self) -> Metrics {
        let (outcomes, backends) = self.exchange.outcome_counts();
        let reasons = RejectReason::ALL.iter().map(|reason| reason.name()).zip(outcomes.rejections);
        Metrics {
            classes: self.class_metrics(&outcomes),
            rejections: reasons.map(|(reason, count)| RejectionCount { reason, count }).collect(),
            attempts_written: self.pools.attempts_written(),
            pending: outcomes.pending,
            backends: backends.listed,
            backends_unavailable: backends.unavailable,
            reloads: self.reloads.load(Ordering::Relaxed),
            reload_errors: self.reload_errors.load(Ordering::Relaxed),
            ejections_pending: self.store.as_ref().is_some_and(EjectionsStore::is_pending),
            violations: Guard::ALL.into_iter().map(violation_count).collect(),
        }
    }

    fn change_ejection(&self, id: &str, change: EjectionChange) -> Result<(), AdminError> {
        let known_here = self.apply_ejection(id, change, UnknownId::Reject);
        let peer = locked(&self.peer).clone();
        let known_to_peer = peer.is_some_and(|peer| self.forward_ejection(&peer, id, change, known_here));
        // The endpoint lists of two processes may differ for a moment: a backend that one of them has binds both.
        if known_to_peer && !known_here {
            self.apply_ejection(id, change, UnknownId::Register);
        }
        if known_here || known_to_peer { Ok(()) } else { Err(AdminError::UnknownBackend) }
    }
}

fn violation_count(guard: Guard) -> ViolationCount {
    ViolationCount { guard: guard.name(), count: invariants::violations(guard) }
}
