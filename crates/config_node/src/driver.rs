//! The thread that owns a node's state: it turns events into calls of the state machine, and carries out what that has ready.

mod messages;

use crate::config::{NodeConfig, ProposalValidator};
use crate::error::Error;
use crate::event::{ConnectionId, Event};
use crate::replica_log::ReplicaLog;
use crate::status::{ReplicaStatus, Status};
use crate::view::{SharedView, version_number};
use replicated_config::{Envelope, LeaseClient, LeaseRequest, Message, Ready, Replica, ReplicaId, RequestId};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Lease requests in the duration of a lease.
const REQUESTS_PER_LEASE: u64 = 6;
/// Longest wait for an event.
const MAX_WAIT_MS: u64 = 1_000;
/// Events that are handled before the timers are looked at again.
const MAX_EVENT_BATCH: usize = 64;

/// The replica of this node.
struct LocalReplica {
    replica: Replica,
    log: ReplicaLog,
}

/// The state of a node.
pub(crate) struct Driver {
    config: NodeConfig,
    /// Where the node's clock begins.
    started: Instant,
    /// Queues of messages to the replicas, in their order; none for this node.
    peers: Vec<Option<SyncSender<Message>>>,
    /// None where this node is no replica, or its log cannot be used.
    local: Option<LocalReplica>,
    lease_client: LeaseClient,
    next_request_ms: u64,
    view: Arc<SharedView>,
    /// Connections that other nodes have opened.
    connections: HashMap<ConnectionId, SyncSender<Message>>,
    /// By which of them each client has asked last.
    routes: HashMap<String, ConnectionId>,
    validator: ProposalValidator,
    /// The last term for which this replica has logged that it leads.
    announced_term: u64,
}

impl Driver {
    pub(crate) fn new(
        config: NodeConfig,
        started: Instant,
        peers: Vec<Option<SyncSender<Message>>>,
        validator: ProposalValidator,
        view: Arc<SharedView>,
    ) -> Self {
        // Larger than any id of an earlier incarnation, unless the clock was set back by more than that incarnation's age.
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let first_request = RequestId(since_epoch.as_micros() as u64);
        let mut driver = Self {
            started,
            peers,
            local: None,
            lease_client: LeaseClient::new(config.lease_duration_ms(), first_request),
            next_request_ms: 0,
            view,
            connections: HashMap::new(),
            routes: HashMap::new(),
            validator,
            announced_term: 0,
            config,
        };
        driver.local = driver.open_replica();
        driver
    }

    /// Reads the log, if this node is a replica.
    fn open_replica(&self) -> Option<LocalReplica> {
        let id = self.config.replica_id()?;
        self.try_open_replica(id)
            .inspect_err(|error| {
                tracing::warn!(%error, "replica log not usable, this replica does not vote");
            })
            .ok()
    }

    fn try_open_replica(&self, id: ReplicaId) -> Result<LocalReplica, Error> {
        let path = &self.config.log;
        let log = ReplicaLog::open(path)?;
        let replica = Replica::new(
            id,
            &self.config.replica_ids(),
            log.state().clone(),
            self.config.lease_duration_ms(),
            self.now_ms(),
        );
        let replica = replica.map_err(|source| Error::UnusableLog { path: path.clone(), source })?;
        Ok(LocalReplica { replica, log })
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Handles events until nobody can send any.
    pub(crate) fn run(mut self, inbox: &Receiver<Event>) {
        loop {
            self.run_timers(self.now_ms());
            match inbox.recv_timeout(self.wait()) {
                Ok(event) => self.on_event(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for event in inbox.try_iter().take(MAX_EVENT_BATCH) {
                self.on_event(event);
            }
        }
    }

    /// How long until a timer is due.
    fn wait(&self) -> Duration {
        let replica_due_ms = self.local.as_ref().map_or(u64::MAX, |local| local.replica.next_tick_ms());
        let due_ms = self.next_request_ms.min(replica_due_ms);
        Duration::from_millis(due_ms.saturating_sub(self.now_ms()).clamp(1, MAX_WAIT_MS))
    }

    fn run_timers(&mut self, now_ms: u64) {
        if let Some(local) = &mut self.local {
            local.replica.tick(now_ms);
        }
        self.process_ready();
        if now_ms >= self.next_request_ms {
            self.next_request_ms = now_ms + self.config.lease_duration_ms() / REQUESTS_PER_LEASE;
            self.request_lease(now_ms);
        }
    }

    fn request_lease(&mut self, now_ms: u64) {
        let cached = self.view.known_numbers();
        let known_version = self.lease_client.latest().map_or(0, |latest| latest.number);
        let request = self.lease_client.start_request(now_ms, self.peers.len());
        let message = LeaseRequest {
            client: self.config.name.clone(),
            id: request.id,
            wants_lease: true,
            known_version,
            cached,
        };
        let peer = request.replica.index().and_then(|index| self.peers.get(index));
        match peer {
            Some(Some(queue)) => enqueue(queue, Message::LeaseRequest(message)),
            // This node is the replica to ask.
            _ => self.on_lease_request(message),
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Connected { connection, queue } => {
                self.connections.insert(connection, queue);
            }
            Event::Disconnected(connection) => {
                self.connections.remove(&connection);
                self.routes.retain(|_, route| *route != connection);
            }
            Event::Received { connection, message } => self.on_message(connection, message),
            Event::StatusRequested(reply) => {
                let _ = reply.try_send(self.status().to_string());
            }
        }
        self.process_ready();
    }

    /// Writes what the replica has ready, and then sends its messages.
    fn process_ready(&mut self) {
        let Some(local) = &mut self.local else { return };
        let Ready { records, to_replicas, to_clients, .. } = local.replica.take_ready();
        if let Err(error) = local.log.append(records) {
            tracing::warn!(%error, "replica log write failed, this replica no longer votes");
            self.local = None;
            return;
        }
        self.announce_leadership();
        for Envelope { to, message } in to_replicas {
            let peer = to.index().and_then(|index| self.peers.get(index));
            if let Some(Some(queue)) = peer {
                enqueue(queue, message);
            }
        }
        for Envelope { to, message } in to_clients {
            self.send_to_client(&to, message);
        }
    }

    fn announce_leadership(&mut self) {
        let Some(local) = &self.local else { return };
        let term = local.replica.progress().term;
        let leads = local.replica.leader() == self.config.replica_id();
        if leads && term > self.announced_term {
            self.announced_term = term;
            tracing::info!(term, "elected leader");
        }
    }

    /// Sends a message to a client: this node, a node that has asked by a connection, or whoever is on a connection.
    fn send_to_client(&mut self, client: &str, message: Message) {
        if client == self.config.name {
            return self.on_message(None, message);
        }
        let connection = if ConnectionId::is_client_name(client) {
            ConnectionId::from_client_name(client)
        } else {
            self.routes.get(client).copied()
        };
        if let Some(queue) = connection.and_then(|connection| self.connections.get(&connection)) {
            enqueue(queue, message);
        }
    }

    fn status(&self) -> Status {
        let texts = self.view.texts();
        let is_replica = self.config.replica_id().is_some();
        let replica = match &self.local {
            Some(local) => ReplicaStatus::Voting {
                progress: local.replica.progress(),
                leader: self.leader_name(&local.replica),
            },
            None if is_replica => ReplicaStatus::WithoutLog,
            None => ReplicaStatus::NotAReplica,
        };
        Status {
            version: version_number(&texts.in_force),
            proposed: version_number(&texts.proposed),
            lease_ms: self.lease_client.expires_at_ms().saturating_sub(self.now_ms()),
            replica,
        }
    }

    fn leader_name(&self, replica: &Replica) -> Option<String> {
        let index = replica.leader()?.index()?;
        self.config.replicas.get(index).map(|leader| leader.name.clone())
    }
}

/// Queues a message. Where the queue is full or its connection closed, the message is dropped; its sender retransmits it.
fn enqueue(queue: &SyncSender<Message>, message: Message) {
    match queue.try_send(message) {
        Ok(()) | Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
    }
}
