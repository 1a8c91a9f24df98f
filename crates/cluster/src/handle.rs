//! The handle through which the program starts and controls the cluster.

use crate::clocks::Clocks;
use crate::coordinator::{Coordinator, Resources};
use crate::event::Event;
use crate::health_monitor::OnEjectionChange;
use crate::run_executor::PendingRun;
use crate::settings::{Backend, HttpJob, Settings};
use crate::store_client::StoreClient;
use crate::worker_pool::TaskQueue;
use crate::{ClusterError, gossip_receiver, run_executor};
use membership::authentication::Keyring;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

/// The maximum number of events in the coordinator's queue.
const EVENT_QUEUE_CAPACITY: usize = 4_096;
/// The name of the coordinator's thread.
const COORDINATOR_THREAD: &str = "cluster";
/// The maximum time for which [`Cluster::leave`] waits until the lease store session has ended.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// A handle to the coordinator thread. Dropping the handle does not stop the thread.
#[derive(Debug)]
pub struct Cluster {
    events: SyncSender<Event>,
    clock_offset_ms: Arc<AtomicI64>,
}

impl Cluster {
    /// Starts the threads, which join the cluster. `on_ejection_change` is called on the coordinator's thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the gossip address cannot be bound or the coordinator's thread cannot be started.
    pub fn start(
        settings: Settings,
        http_jobs: Vec<HttpJob>,
        on_ejection_change: OnEjectionChange,
    ) -> Result<Arc<Self>, ClusterError> {
        let clock_offset_ms = Arc::new(AtomicI64::new(settings.clock_offset_ms));
        let clocks = Clocks::new(clock_offset_ms.clone());
        let (events, receiver) = sync_channel(EVENT_QUEUE_CAPACITY);
        let dropped_datagrams = Arc::new(AtomicU64::new(0));
        let gossip_socket = bind_gossip(&settings)?;
        if let Some(socket) = &gossip_socket {
            gossip_receiver::start(socket.clone(), events.clone(), dropped_datagrams.clone());
        }
        let store = start_store(&settings, events.clone());
        let runs = start_runs(&settings, clocks.clone(), events.clone());
        let resources =
            Resources { clocks, gossip_socket, store, runs, dropped_datagrams, on_ejection_change };
        let coordinator = Coordinator::new(settings, resources);
        thread::Builder::new()
            .name(COORDINATOR_THREAD.into())
            .spawn(move || coordinator.run(&receiver, http_jobs))
            .map_err(|source| ClusterError::SpawnThread { name: COORDINATOR_THREAD, source })?;
        Ok(Arc::new(Self { events, clock_offset_ms }))
    }

    /// Replaces the HTTP jobs. A job whose name remains keeps its state. Blocks while the event queue is full.
    pub fn set_http_jobs(&self, jobs: Vec<HttpJob>) {
        self.send(Event::HttpJobsChanged(jobs));
    }

    /// Replaces the keys that authenticate gossip. Blocks while the event queue is full.
    pub fn set_keyring(&self, keyring: Keyring) {
        self.send(Event::KeyringChanged(keyring));
    }

    /// Sets the number of milliseconds added to the Unix clock, to test the effect of clock steps.
    pub fn set_clock_offset_ms(&self, offset_ms: i64) {
        self.clock_offset_ms.store(offset_ms, Ordering::Relaxed);
    }

    /// Replaces the backends to check. Backends that remain keep their reports. Blocks while the event queue is full.
    pub fn set_backends(&self, backends: Vec<Backend>) {
        self.send(Event::BackendsChanged(backends));
    }

    /// Requests the status text, which arrives through the returned channel. No text arrives if the coordinator is stuck or
    /// its event queue is full. A coroutine must therefore poll the channel instead of blocking on it.
    pub fn request_status(&self) -> Receiver<String> {
        let (sender, status) = sync_channel(1);
        let _ = self.events.try_send(Event::StatusRequested(sender));
        status
    }

    /// Leaves the cluster and ends the lease store session, so that the other members take over the jobs at once. Waits for
    /// the end of the session, but at most one second.
    pub fn leave(&self) {
        let (sender, done) = sync_channel(1);
        if self.events.try_send(Event::LeaveRequested(sender)).is_ok() {
            let _ = done.recv_timeout(LEAVE_TIMEOUT);
        }
    }

    fn send(&self, event: Event) {
        // `send` blocks while the event queue is full. The gossip receiver drops datagrams instead; see `offer_datagram`.
        let _ = self.events.send(event);
    }
}

/// Starts the client of the lease store. Responses of the store become events for the coordinator.
fn start_store(settings: &Settings, events: SyncSender<Event>) -> StoreClient {
    StoreClient::start(&settings.lease_store, &settings.instance, move |response| {
        let _ = events.send(Event::StoreResponded(response));
    })
}

/// Starts the threads that execute runs. Outcomes of runs become events for the coordinator.
fn start_runs(settings: &Settings, clocks: Clocks, events: SyncSender<Event>) -> TaskQueue<PendingRun> {
    run_executor::start(&settings.instance, settings.max_concurrent_runs, clocks, move |finished| {
        let _ = events.send(Event::RunFinished(finished));
    })
}

/// Binds the gossip socket. Returns `None` if the settings have no gossip.
fn bind_gossip(settings: &Settings) -> Result<Option<Arc<UdpSocket>>, ClusterError> {
    let Some(gossip) = &settings.gossip else { return Ok(None) };
    match UdpSocket::bind(gossip.listen) {
        Ok(socket) => Ok(Some(Arc::new(socket))),
        Err(source) => Err(ClusterError::BindGossip { address: gossip.listen, source }),
    }
}
