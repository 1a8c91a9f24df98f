//! The coordinator: the thread that owns the cluster state. It handles events, sends datagrams, calls the lease store and
//! starts runs.

mod jobs;
mod notices;
mod status;

use crate::clocks::Clocks;
use crate::event::Event;
use crate::gossip_node::{GossipChanges, GossipNode, ReceivedReport};
use crate::health_monitor::{HealthMonitor, OnEjectionChange};
use crate::job_table::JobTable;
use crate::log_limiter::LogLimiter;
use crate::run_executor::{PendingRun, RunOutcome};
use crate::settings::{Backend, HealthChecks, HttpJob, Settings};
use crate::store_client::StoreClient;
use crate::worker_pool::TaskQueue;
use periodic_jobs::{ClockReading, Scheduler, StoreResponse};
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::Duration;
use timestamps::MonotonicTime;

/// The maximum time between two ticks, which bounds the delay until a stale health report is detected.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of events handled between two ticks, in addition to the first one.
const MAX_EVENT_BATCH: usize = 256;
/// The monotonic time after which a build with the seeded fault `agreed` ignores received datagrams.
const SEEDED_FAULT_AFTER: MonotonicTime = MonotonicTime::from_millis(6_000);

/// The clocks, the socket, the worker pools and the callback that the coordinator uses.
pub(crate) struct Resources {
    pub(crate) clocks: Clocks,
    /// The socket for gossip. `None` if gossip is not configured.
    pub(crate) gossip_socket: Option<Arc<UdpSocket>>,
    pub(crate) store: StoreClient,
    pub(crate) runs: TaskQueue<PendingRun>,
    /// The number of datagrams dropped because the event queue was full.
    pub(crate) dropped_datagrams: Arc<AtomicU64>,
    pub(crate) on_ejection_change: OnEjectionChange,
}

/// The number of runs by outcome since the coordinator was created.
#[derive(Debug, Default)]
struct RunCounts {
    succeeded: u64,
    failed: u64,
    deadline_passed: u64,
    queue_full: u64,
}

impl RunCounts {
    fn count_outcome(&mut self, outcome: &RunOutcome) {
        match outcome {
            RunOutcome::DeadlinePassed => self.deadline_passed += 1,
            _ if outcome.is_success() => self.succeeded += 1,
            _ => self.failed += 1,
        }
    }
}

/// The state of the cluster on this instance, and the resources to act on it.
pub(crate) struct Coordinator {
    instance_name: String,
    clocks: Clocks,
    gossip: Option<GossipNode>,
    scheduler: Scheduler,
    store: StoreClient,
    jobs: JobTable,
    runs: TaskQueue<PendingRun>,
    run_counts: RunCounts,
    health_monitor: Option<HealthMonitor>,
    dropped_datagrams: Arc<AtomicU64>,
    log_limiter: LogLimiter,
    has_left: bool,
}

impl Coordinator {
    pub(crate) fn new(settings: Settings, resources: Resources) -> Self {
        let Resources { clocks, gossip_socket, store, runs, dropped_datagrams, on_ejection_change } =
            resources;
        let started_at = clocks.now().unix;
        let scheduler = Scheduler::new(jobs::scheduler_config(&settings, started_at));
        let gossip_node = |(gossip, socket)| GossipNode::new(&gossip, &settings.instance, started_at, socket);
        let gossip = settings.gossip.zip(gossip_socket).map(gossip_node);
        let new_monitor =
            |checks: &HealthChecks| HealthMonitor::new(checks.config.clone(), on_ejection_change);
        let health_monitor = settings.health_checks.as_ref().map(new_monitor);
        Self {
            instance_name: settings.instance,
            clocks,
            gossip,
            scheduler,
            store,
            jobs: JobTable::new(settings.health_checks),
            runs,
            run_counts: RunCounts::default(),
            health_monitor,
            dropped_datagrams,
            log_limiter: LogLimiter::default(),
            has_left: false,
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
        let now = self.clocks.now();
        let until_jobs = self.scheduler.next_tick().map(|due| due.saturating_since(now.unix));
        let gossip_due = self.gossip.as_ref().map(GossipNode::next_tick);
        let until_gossip = gossip_due.map(|due| due.saturating_since(now.monotonic));
        until_jobs.into_iter().chain(until_gossip).fold(MAX_TICK_INTERVAL, Duration::min)
    }

    /// Runs the timers that are due in gossip, jobs and health checks.
    fn tick(&mut self) {
        let now = self.clocks.now();
        self.update_gossip(now, |gossip| gossip.tick(now.monotonic));
        if !self.has_left {
            let mut actions = Vec::new();
            self.scheduler.tick(now, &mut actions);
            self.apply_actions(now, actions);
        }
        if let Some(health) = &mut self.health_monitor {
            health.update_ejections(now.monotonic);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clocks.now();
        match event {
            Event::DatagramReceived(_) if ignores_datagrams(now) => {}
            Event::DatagramReceived(bytes) => {
                self.update_gossip(now, |gossip| gossip.handle_datagram(now.monotonic, &bytes));
            }
            Event::StoreResponded(response) => self.handle_store_response(now, response),
            Event::RunFinished(finished) => self.handle_finished_run(now, &finished),
            Event::HttpJobsChanged(jobs) => self.set_http_jobs(jobs),
            Event::KeyringChanged(keyring) => {
                if let Some(gossip) = &mut self.gossip {
                    gossip.set_keyring(keyring);
                }
            }
            Event::BackendsChanged(backends) => self.set_backends(now, backends),
            Event::StatusRequested(sender) => {
                let _ = sender.try_send(self.status(now));
            }
            Event::LeaveRequested(done) => self.leave(now, done),
        }
    }

    /// Updates gossip, if it is configured. Passes received health reports to the health monitor and changed members to the
    /// scheduler.
    fn update_gossip(&mut self, now: ClockReading, update: impl FnOnce(&mut GossipNode) -> GossipChanges) {
        let Some(gossip) = &mut self.gossip else { return };
        let changes = update(gossip);
        if let Some(health) = &mut self.health_monitor {
            for ReceivedReport { backend_id, report } in changes.reports {
                health.apply_report(&backend_id, report, now.monotonic);
            }
        }
        if let Some(alive_names) = changes.alive_names {
            self.scheduler.set_members(now, alive_names);
        }
    }

    fn set_backends(&mut self, now: ClockReading, backends: Vec<Backend>) {
        self.jobs.set_backends(backends);
        let Some(health) = &mut self.health_monitor else { return };
        health.set_backends(self.jobs.backend_ids());
        if let Some(gossip) = &mut self.gossip {
            gossip.retain_backends(|id| self.jobs.has_backend(id));
        }
        self.update_jobs(now);
    }

    fn handle_store_response(&mut self, now: ClockReading, response: StoreResponse) {
        let mut actions = Vec::new();
        self.scheduler.handle_store_response(now, response, &mut actions);
        if !self.has_left {
            self.apply_actions(now, actions);
        }
    }

    /// Leaves the cluster and ends the lease store session, then notifies `done`. Later calls only drop `done`.
    fn leave(&mut self, now: ClockReading, done: SyncSender<()>) {
        if std::mem::replace(&mut self.has_left, true) {
            return;
        }
        self.update_gossip(now, |gossip| gossip.leave(now.monotonic));
        match self.scheduler.session().cloned() {
            Some(session) => self.store.end_session(session, done),
            None => drop(done.try_send(())),
        }
    }
}

/// Returns whether the seeded fault `agreed` is active and received datagrams are ignored at `now`.
fn ignores_datagrams(now: ClockReading) -> bool {
    seeded_faults::is_active("agreed") && now.monotonic > SEEDED_FAULT_AFTER
}
