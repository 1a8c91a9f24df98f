//! The admin service: carries out operators' commands on the parts of the platform's gatekeeper, and applies ejections that
//! come from the other process of a hot restart.

use crate::admin_listener::{AdminError, AdminHandler};
use crate::ejections_file;
use crate::ejections_store::EjectionsStore;
use crate::endpoint_ids::EndpointIds;
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
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time-out of a call to the other process. The operator waits for 1 s in all.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Where this process is in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Starting,
    Ready,
    Ending,
}

/// Names of all classes and plans so far, by number.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Of the classes.
    pub classes: Vec<String>,
    /// Of the plans.
    pub plans: Vec<String>,
}

/// Calls to the other process that wait for their reply.
#[derive(Default)]
struct PendingCalls {
    last: u64,
    replies: HashMap<u64, Sender<bool>>,
}

/// The parts that commands act on, and what is counted outside them.
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
    /// A service that is not ready yet.
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

    /// Applies the ejections that an earlier process has stored.
    pub fn restore_ejections(&self) {
        let Some(store) = &self.store else { return };
        match ejections_file::read(store.directory()) {
            Ok(ids) => {
                for id in ids {
                    self.apply_ejection(&id, true, true);
                }
            }
            Err(error) => tracing::warn!(%error, "ejections file not usable"),
        }
    }

    /// Sets the other process of a hot restart; `None` once it is gone.
    pub fn set_peer(&self, peer: Option<Arc<Peer>>) {
        *locked(&self.peer) = peer;
        // Nobody replies to these any more: dropped, they fail at once.
        locked(&self.pending_calls).replies.clear();
    }

    /// Whether this process shuts down.
    pub fn is_ending(&self) -> bool {
        *locked(&self.phase) == Phase::Ending
    }

    /// Handles a message of the other process about ejections; any other is ignored.
    pub fn handle_message(&self, peer: &Peer, message: Message) {
        match message {
            Message::SetEjected { call, id, ejected, known } => {
                let applied = self.apply_ejection(&id, ejected, known);
                // Where the peer is gone nobody waits for this.
                let _ = peer.send(&Message::EjectionApplied { call, applied }, None);
            }
            Message::EjectionApplied { call, applied } => {
                if let Some(waiting) = locked(&self.pending_calls).replies.remove(&call) {
                    // It may have timed out.
                    let _ = waiting.send(applied);
                }
            }
            _ => {}
        }
    }

    /// Has the other process do the same; returns whether it has. `known`: this process has the backend.
    fn forward_ejection(&self, peer: &Peer, id: &str, ejected: bool, known: bool) -> bool {
        let (sender, reply) = channel();
        let call = {
            let mut pending = locked(&self.pending_calls);
            pending.last += 1;
            let call = pending.last;
            pending.replies.insert(call, sender);
            call
        };
        let message = Message::SetEjected { call, id: id.to_owned(), ejected, known };
        let applied = peer.send(&message, None).is_ok() && reply.recv_timeout(PEER_TIMEOUT).unwrap_or(false);
        locked(&self.pending_calls).replies.remove(&call);
        applied
    }

    /// Ejects a backend here, or restores it; returns whether there is one with this id.
    pub fn apply_ejection(&self, id: &str, ejected: bool, known: bool) -> bool {
        // Locked throughout, so that two commands for one backend are applied in the same order everywhere.
        let mut endpoint_ids = locked(&self.endpoint_ids);
        let Some(backend) = endpoint_ids.set_ejected(id, ejected, known) else { return false };
        // The pools come first: what the policy decided before the ejection is refused there, and when it sends again after a
        // restoration the pools are open.
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

    /// Clients are served from now on.
    pub fn set_ready(&self) {
        *locked(&self.phase) = Phase::Ready;
    }

    /// No new clients are served any more.
    pub fn set_ending(&self) {
        *locked(&self.phase) = Phase::Ending;
    }

    /// Counts a reload that was accepted or rejected.
    pub fn count_reload(&self, accepted: bool) {
        let count = if accepted { &self.reloads } else { &self.reload_errors };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Requests by class. A class that came back with other settings has another number, and counts under the same name.
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

    fn set_ejected(&self, id: &str, ejected: bool) -> Result<(), AdminError> {
        let known = self.apply_ejection(id, ejected, false);
        let peer = locked(&self.peer).clone();
        let known_to_peer = peer.is_some_and(|peer| self.forward_ejection(&peer, id, ejected, known));
        // The lists of two processes may differ for a moment: a backend that one of them has binds both.
        if known_to_peer && !known {
            self.apply_ejection(id, ejected, true);
        }
        if known || known_to_peer { Ok(()) } else { Err(AdminError::UnknownBackend) }
    }
}

fn violation_count(guard: Guard) -> ViolationCount {
    ViolationCount { guard: guard.name(), count: invariants::violations(guard) }
}
