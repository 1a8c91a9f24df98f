//! The admin service: executes operators' commands.

use crate::admin_listener::{AdminError, AdminHandler};
use crate::endpoint_ids::EjectionChange;
use crate::operator_ejections::OperatorEjections;
use destination::{BackendPools, RespProtocol};
use front_resp::RespExchange;
use invariants::Guard;
use link::lock_or_abort;
use operator::{ClassMetrics, Metrics, RejectionCount, ViolationCount};
use policy::RejectReason;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Whether this process accepts clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Starting,
    Ready,
    Ending,
}

/// Names of all classes and plans since the start of the process. The numbers of removed ones are not reused.
#[derive(Clone, Debug, Default)]
pub struct PolicyNames {
    /// Names of the classes; the index is the class number.
    pub classes: Vec<String>,
    /// Names of the plans; the index is the plan number.
    pub plans: Vec<String>,
}

/// Holds what operators query and change: the metrics, the readiness of this process and the ejections.
pub struct AdminService {
    exchange: Arc<RespExchange>,
    pools: Arc<BackendPools<RespProtocol>>,
    ejections: Arc<OperatorEjections>,
    names: Mutex<PolicyNames>,
    phase: Mutex<Phase>,
    reloads: AtomicU64,
    reload_errors: AtomicU64,
}

impl AdminService {
    /// Creates a service that is not ready yet.
    pub fn new(
        exchange: Arc<RespExchange>,
        pools: Arc<BackendPools<RespProtocol>>,
        ejections: Arc<OperatorEjections>,
        names: PolicyNames,
    ) -> Self {
        Self {
            exchange,
            pools,
            ejections,
            names: Mutex::new(names),
            phase: Mutex::default(),
            reloads: AtomicU64::default(),
            reload_errors: AtomicU64::default(),
        }
    }

    /// Sets the names of the classes and plans after a reload. Metrics that are collected from now on use these names.
    pub fn set_names(&self, names: PolicyNames) {
        *lock_or_abort(&self.names) = names;
    }

    /// Returns the names of all classes and plans since the start of the process, including removed ones.
    pub fn names(&self) -> PolicyNames {
        lock_or_abort(&self.names).clone()
    }

    /// Whether [`AdminService::set_ending`] was called.
    pub fn is_ending(&self) -> bool {
        *lock_or_abort(&self.phase) == Phase::Ending
    }

    /// Reports this process as ready to accept clients from now on.
    pub fn set_ready(&self) {
        *lock_or_abort(&self.phase) = Phase::Ready;
    }

    /// Reports this process as shutting down from now on.
    pub fn set_ending(&self) {
        *lock_or_abort(&self.phase) = Phase::Ending;
    }

    /// Counts a reload of the configuration as accepted or as failed.
    pub fn count_reload(&self, accepted: bool) {
        let count = if accepted { &self.reloads } else { &self.reload_errors };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the outcomes of requests by class name. A class has several numbers under one name if it was removed and
    /// added again with other settings.
    fn class_metrics(&self, outcomes: &exchange::OutcomeCounts) -> Vec<ClassMetrics> {
        let mut classes: Vec<ClassMetrics> = Vec::new();
        for (name, counts) in lock_or_abort(&self.names).classes.iter().zip(&outcomes.classes) {
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
        match *lock_or_abort(&self.phase) {
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
            ejections_pending: self.ejections.is_store_pending(),
            violations: Guard::ALL.into_iter().map(violation_count).collect(),
        }
    }

    fn change_ejection(&self, id: &str, change: EjectionChange) -> Result<(), AdminError> {
        if self.ejections.change_ejection(id, change) { Ok(()) } else { Err(AdminError::UnknownBackend) }
    }
}

fn violation_count(guard: Guard) -> ViolationCount {
    ViolationCount { guard: guard.name(), count: invariants::violations(guard) }
}
