//! The thread that owns the state: events in, tasks and datagrams out.

mod gossip;
mod health;
mod jobs;
mod notices;
mod status;

use crate::clocks::Clocks;
use crate::event::Event;
use crate::log_limiter::LogLimiter;
use crate::run_executor::PendingRun;
use crate::settings::{HttpJob, Settings};
use crate::store_client::{StoreCall, StoreResponse};
use crate::worker_pool::TaskQueue;
use health_check::HealthTracker;
use job_lease::LocalStore;
use membership::Membership;
use periodic_jobs::{Action, ClockReading, Scheduler};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::Duration;

/// Called with the ids of the backends ejected by health checks, whenever these change.
pub type OnEjectionChange = Box<dyn Fn(&BTreeSet<String>) + Send>;

/// The longest time between two ticks, in milliseconds; reports that become stale are noticed within it.
const MAX_TICK_INTERVAL_MS: u64 = 100;
/// Events that are handled between two ticks, beyond the first.
const MAX_EVENT_BATCH: usize = 256;
/// Milliseconds after which datagrams are ignored in a build with the seeded fault `agreed`.
const SEEDED_FAULT_AFTER_MS: u64 = 6_000;

/// What the coordinator works with.
pub(crate) struct Resources {
    pub(crate) clocks: Clocks,
    /// Sends gossip; `None` without gossip.
    pub(crate) socket: Option<Arc<UdpSocket>>,
    /// Calls to the lease store; `None` where the leases are kept in the process.
    pub(crate) store: Option<TaskQueue<StoreCall>>,
    pub(crate) runs: TaskQueue<PendingRun>,
    /// Datagrams dropped since the event queue was full.
    pub(crate) dropped_datagrams: Arc<AtomicU64>,
    pub(crate) on_ejection_change: OnEjectionChange,
}

/// Counts of runs since the start.
#[derive(Debug, Default)]
struct RunCounts {
    succeeded: u64,
    failed: u64,
    deadline_passed: u64,
    queue_full: u64,
}

/// The state of the cluster's part.
pub(crate) struct Coordinator {
    settings: Settings,
    resources: Resources,
    membership: Option<Membership>,
    scheduler: Scheduler,
    local_store: LocalStore,
    health: Option<HealthTracker>,
    backends: BTreeMap<String, SocketAddr>,
    /// By the name of the job.
    http_jobs: BTreeMap<String, HttpJob>,
    ejected: BTreeSet<String>,
    run_counts: RunCounts,
    log_limiter: LogLimiter,
    authentication_failures: u64,
    duplicate_names: Vec<String>,
    left: bool,
}

impl Coordinator {
    pub(crate) fn new(settings: Settings, resources: Resources) -> Self {
        let start_unix_ms = resources.clocks.now().unix_ms;
        Self {
            scheduler: Scheduler::new(jobs::scheduler_config(&settings, start_unix_ms)),
            membership: settings
                .gossip
                .as_ref()
                .map(|gossip| gossip::join(gossip, &settings.instance, start_unix_ms)),
            health: settings.health_checks.as_ref().map(|checks| HealthTracker::new(checks.config.clone())),
            settings,
            resources,
            local_store: LocalStore::default(),
            backends: BTreeMap::new(),
            http_jobs: BTreeMap::new(),
            ejected: BTreeSet::new(),
            run_counts: RunCounts::default(),
            log_limiter: LogLimiter::default(),
            authentication_failures: 0,
            duplicate_names: Vec::new(),
            left: false,
        }
    }

    /// Handles events until all senders are gone.
    pub(crate) fn run(mut self, events: &Receiver<Event>, http_jobs: Vec<HttpJob>) {
        self.set_http_jobs(http_jobs);
        loop {
            self.tick();
            match events.recv_timeout(self.time_to_next_tick()) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for event in events.try_iter().take(MAX_EVENT_BATCH) {
                self.handle(event);
            }
        }
    }

    fn time_to_next_tick(&self) -> Duration {
        let now = self.resources.clocks.now();
        let jobs_ms = self.scheduler.next_tick_unix_ms().map(|due| due.saturating_sub(now.unix_ms));
        let membership = self.membership.as_ref();
        let gossip_ms = membership.map(|m| m.next_tick_ms().saturating_sub(now.monotonic_ms));
        let due_ms = jobs_ms.into_iter().chain(gossip_ms).chain([MAX_TICK_INTERVAL_MS]).min();
        Duration::from_millis(due_ms.unwrap_or(MAX_TICK_INTERVAL_MS))
    }

    /// Does what is due.
    fn tick(&mut self) {
        let now = self.resources.clocks.now();
        if let Some(membership) = &mut self.membership {
            let mut outputs = Vec::new();
            membership.tick(now.monotonic_ms, &mut outputs);
            self.handle_membership_outputs(now, outputs);
        }
        if !self.left {
            let mut actions = Vec::new();
            self.scheduler.tick(now, &mut actions);
            self.apply_action(now, actions);
        }
        self.update_ejections(now);
    }

    fn handle(&mut self, event: Event) {
        let now = self.resources.clocks.now();
        match event {
            Event::DatagramReceived(_)
                if seeded_faults::is_active("agreed") && now.monotonic_ms > SEEDED_FAULT_AFTER_MS => {}
            Event::DatagramReceived(bytes) => self.handle_datagram(now, &bytes),
            Event::StoreResponded(response) => self.handle_store_response(now, response),
            Event::RunFinished(finished) => self.handle_finished_run(now, &finished),
            Event::HttpJobsChanged(jobs) => self.set_http_jobs(jobs),
            Event::KeyringChanged(keyring) => {
                if let Some(membership) = &mut self.membership {
                    membership.set_keyring(keyring);
                }
            }
            Event::BackendsChanged(backends) => self.set_backends(now, backends),
            Event::StatusRequested(sender) => {
                let _ = sender.try_send(self.status(now));
            }
            Event::LeaveRequested(done) => self.leave(now, done),
        }
    }

    fn handle_store_response(&mut self, now: ClockReading, response: StoreResponse) {
        let mut actions = Vec::new();
        self.apply_store_response(now, response, &mut actions);
        if !self.left {
            self.apply_action(now, actions);
        }
    }

    fn apply_store_response(&mut self, now: ClockReading, response: StoreResponse, out: &mut Vec<Action>) {
        match response {
            StoreResponse::SessionOpened(result) => self.scheduler.session_opened(now, result, out),
            StoreResponse::SessionRenewed(session, result) => {
                self.scheduler.session_renewed(now, &session, result, out);
            }
            StoreResponse::LeasesRead { call, jobs, result } => {
                self.scheduler.leases_read(now, call, &jobs, result, out);
            }
            StoreResponse::CompareAndSetDone { call, job, record, outcome } => {
                self.scheduler.compare_and_set_done(now, call, &job, &record, outcome, out);
            }
        }
    }

    /// Leaves the gossip and ends the session; `done` is notified when both are done.
    fn leave(&mut self, now: ClockReading, done: SyncSender<()>) {
        if std::mem::replace(&mut self.left, true) {
            return;
        }
        if let Some(membership) = &mut self.membership {
            let mut outputs = Vec::new();
            membership.leave(now.monotonic_ms, &mut outputs);
            self.handle_membership_outputs(now, outputs);
        }
        match (self.scheduler.session().cloned(), &self.resources.store) {
            (Some(session), Some(store)) => drop(store.offer(StoreCall::EndSession(session, done))),
            _ => drop(done.try_send(())),
        }
    }
}
