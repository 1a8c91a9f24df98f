//! The event loop of a node. One thread owns the node's state, passes events to the state machines, and carries out their output.

mod messages;

use crate::client_connections::ClientConnections;
use crate::clock::Clock;
use crate::config::{NodeConfig, ProposalValidator};
use crate::event::Event;
use crate::lease_requester::{LeaseRequester, OutgoingRequest};
use crate::local_replica::{LocalReplica, OutgoingMessages};
use crate::peers::Peers;
use crate::status::{ReplicaStatus, Status};
use crate::view::SharedView;
use replicated_config::{Envelope, Message, Replica, VersionNumbers};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;
use timestamps::MonotonicTime;

/// Minimum time to wait for an event.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Maximum time to wait for an event.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of queued events to handle before the timers are checked again.
const MAX_EVENT_BATCH: usize = 64;

/// The state of a node.
pub(crate) struct Driver {
    config: NodeConfig,
    clock: Clock,
    peers: Peers,
    /// `None` if this node is not a replica, or the replica's log is unusable.
    local_replica: Option<LocalReplica>,
    lease_requester: LeaseRequester,
    view: Arc<SharedView>,
    clients: ClientConnections,
    validator: ProposalValidator,
}

impl Driver {
    pub(crate) fn new(
        config: NodeConfig,
        clock: Clock,
        peers: Peers,
        validator: ProposalValidator,
        view: Arc<SharedView>,
    ) -> Self {
        let lease_requester =
            LeaseRequester::new(config.name.clone(), config.replicas.len(), config.lease_duration);
        Self {
            clock,
            peers,
            local_replica: LocalReplica::open(&config, clock),
            lease_requester,
            view,
            clients: ClientConnections::default(),
            validator,
            config,
        }
    }

    /// Handles events until all senders of the event channel are dropped.
    pub(crate) fn run(mut self, events: &Receiver<Event>) {
        loop {
            self.run_timers(self.clock.now());
            match events.recv_timeout(self.time_until_timer()) {
                Ok(event) => self.on_event(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for event in events.try_iter().take(MAX_EVENT_BATCH) {
                self.on_event(event);
            }
        }
    }

    /// Returns the time until the next timer is due, clamped to [`MIN_WAIT`] and [`MAX_WAIT`].
    fn time_until_timer(&self) -> Duration {
        let replica = self.local_replica.as_ref().map(LocalReplica::replica);
        let next_tick_at = replica.map_or(MonotonicTime::NEVER, Replica::next_tick_at);
        let next_timer_at = self.lease_requester.next_request_at().min(next_tick_at);
        next_timer_at.saturating_since(self.clock.now()).clamp(MIN_WAIT, MAX_WAIT)
    }

    fn run_timers(&mut self, now: MonotonicTime) {
        if let Some(local) = &mut self.local_replica {
            local.replica_mut().tick(now);
        }
        self.process_ready();
        if now >= self.lease_requester.next_request_at() {
            self.request_lease(now);
        }
    }

    /// Sends a lease request to a replica, which may be this node's own replica.
    fn request_lease(&mut self, now: MonotonicTime) {
        let cached = self.view.known_version_numbers();
        let OutgoingRequest { to, request } = self.lease_requester.start_request(now, cached);
        match self.peers.queue(to) {
            Some(queue) => queue.send(Message::LeaseRequest(request)),
            None => self.on_lease_request(request),
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Connected { connection, queue } => self.clients.insert(connection, queue),
            Event::Disconnected(connection) => self.clients.remove(connection),
            Event::Received { connection, message } => self.on_message(connection, message),
            Event::StatusRequested(reply) => {
                let _ = reply.try_send(self.status().to_string());
            }
        }
        self.process_ready();
    }

    /// Writes the local replica's pending records, then sends its messages. Drops the replica if its log cannot be written.
    fn process_ready(&mut self) {
        let Some(local) = &mut self.local_replica else { return };
        match local.write_ready() {
            Ok(messages) => self.send(messages),
            Err(error) => {
                tracing::warn!(%error, "replica log write failed, this replica no longer votes");
                self.local_replica = None;
            }
        }
    }

    fn send(&mut self, messages: OutgoingMessages) {
        for Envelope { to, message } in messages.to_replicas {
            if let Some(queue) = self.peers.queue(to) {
                queue.send(message);
            }
        }
        for Envelope { to, message } in messages.to_clients {
            self.send_to_client(&to, message);
        }
    }

    /// Sends a message to a client, which may be this node itself.
    fn send_to_client(&mut self, client: &str, message: Message) {
        if client == self.config.name {
            self.on_message(None, message);
        } else {
            self.clients.send(client, message);
        }
    }

    fn status(&self) -> Status {
        let VersionNumbers { in_force, proposed } = self.view.known_version_numbers();
        Status {
            in_force,
            proposed,
            remaining_lease: self.lease_requester.expires_at().saturating_since(self.clock.now()),
            replica: self.replica_status(),
        }
    }

    fn replica_status(&self) -> ReplicaStatus {
        let is_replica = self.config.replica_id().is_some();
        match &self.local_replica {
            Some(local) => ReplicaStatus::Voting {
                progress: local.replica().progress(),
                leader: self.leader_name(local.replica()),
            },
            None if is_replica => ReplicaStatus::UnusableLog,
            None => ReplicaStatus::NotAReplica,
        }
    }

    fn leader_name(&self, replica: &Replica) -> Option<String> {
        let index = replica.leader()?.index()?;
        self.config.replicas.get(index).map(|leader| leader.name.clone())
    }
}
