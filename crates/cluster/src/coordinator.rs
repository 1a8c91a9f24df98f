//! The thread that owns the cluster state. It handles events and emits datagrams, store calls and runs.

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
use crate::store_client::StoreClient;
use crate::worker_pool::TaskQueue;
use health_check::HealthTracker;
use membership::Membership;
use periodic_jobs::{ClockReading, Scheduler, StoreResponse};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::Duration;

/// A callback that receives the ids of the backends ejected by health checks whenever the set changes.
pub type OnEjectionChange = Box<dyn Fn(&BTreeSet<String>) + Send>;

/// The maximum time between two ticks in milliseconds, which bounds the delay in detecting stale health reports.
const MAX_TICK_INTERVAL_MS: u64 = 100;
/// The maximum number of events handled between two ticks, beyond the first.
const MAX_EVENT_BATCH: usize = 256;
/// Milliseconds after the start from which datagrams are ignored in a build with the seeded fault `agreed`.
const SEEDED_FAULT_AFTER_MS: u64 = 6_000;

/// The clocks, sockets and worker pools that the coordinator uses.
pub(crate) struct Resources {
    pub(crate) clocks: Clocks,
    /// The socket for gossip. `None` without gossip.
    pub(crate) socket: Option<Arc<UdpSocket>>,
    pub(crate) store: StoreClient,
    pub(crate) runs: TaskQueue<PendingRun>,
    /// Datagrams dropped because the event queue was full.
    pub(crate) dropped_datagrams: Arc<AtomicU64>,
    pub(crate) on_ejection_change: OnEjectionChange,
}

/// The outcomes of runs since the start.
#[derive(Debug, Default)]
struct RunCounts {
    succeeded: u64,
    failed: u64,
    deadline_passed: u64,
    queue_full: u64,
}

/// The state of the cluster on this instance.
pub(crate) struct Coordinator {
    settings: Settings,
    resources: Resources,
    membership: Option<Membership>,
    scheduler: Scheduler,
    health: Option<HealthTracker>,
    backends: BTreeMap<String, SocketAddr>,
    /// HTTP jobs by job name.
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

    /// Handles events until all senders are dropped.
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
        let jobs_due_unix_ms = self.scheduler.next_tick_unix_ms();
        let until_jobs_ms = jobs_due_unix_ms.map(|due_unix_ms| due_unix_ms.saturating_sub(now.unix_ms));
        let gossip_due_ms = self.membership.as_ref().map(Membership::next_tick_ms);
        let until_gossip_ms = gossip_due_ms.map(|due_ms| due_ms.saturating_sub(now.monotonic_ms));
        let until_due_ms = until_jobs_ms.into_iter().chain(until_gossip_ms).min();
        Duration::from_millis(until_due_ms.unwrap_or(MAX_TICK_INTERVAL_MS).min(MAX_TICK_INTERVAL_MS))
    }

    /// Runs the timers that are due in gossip, jobs and health checks.
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
            self.apply_actions(now, actions);
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
        self.scheduler.handle_store_response(now, response, &mut actions);
        if !self.left {
            self.apply_actions(now, actions);
        }
    }

    /// Leaves the cluster and ends the session, then notifies `done`.
    fn leave(&mut self, now: ClockReading, done: SyncSender<()>) {
        if std::mem::replace(&mut self.left, true) {
            return;
        }
        if let Some(membership) = &mut self.membership {
            let mut outputs = Vec::new();
            membership.leave(now.monotonic_ms, &mut outputs);
            self.handle_membership_outputs(now, outputs);
        }
        match self.scheduler.session().cloned() {
            Some(session) => self.resources.store.end_session(session, done),
            None => drop(done.try_send(())),
        }
    }
}
