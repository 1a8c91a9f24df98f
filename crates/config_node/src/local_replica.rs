//! The replica of this node together with its log on disk.

use crate::clock::Clock;
use crate::config::NodeConfig;
use crate::error::Error;
use crate::replica_log::ReplicaLog;
use replicated_config::{Envelope, Ready, Replica, ReplicaId, Term};

/// The replica of this node and its log. The replica's messages are released only once its records are on disk.
pub(crate) struct LocalReplica {
    id: ReplicaId,
    replica: Replica,
    log: ReplicaLog,
    /// The last term for which this replica has logged that it is the leader.
    last_logged_term: Term,
}

/// Messages of a replica that may be sent, because all records that the messages depend on are on disk.
pub(crate) struct OutgoingMessages {
    pub(crate) to_replicas: Vec<Envelope<ReplicaId>>,
    pub(crate) to_clients: Vec<Envelope<String>>,
}

impl LocalReplica {
    /// Opens this node's replica. Returns `None` if the node is not a replica. Logs a warning and returns `None` if the log is
    /// unusable.
    pub(crate) fn open(config: &NodeConfig, clock: Clock) -> Option<Self> {
        let id = config.replica_id()?;
        Self::try_open(id, config, clock)
            .inspect_err(|error| {
                tracing::warn!(%error, "replica log not usable, this replica does not vote");
            })
            .ok()
    }

    fn try_open(id: ReplicaId, config: &NodeConfig, clock: Clock) -> Result<Self, Error> {
        let path = &config.log;
        let log = ReplicaLog::open(path)?;
        let replica =
            Replica::new(id, &config.replica_ids(), log.state().clone(), config.lease_duration, clock.now());
        let replica = replica.map_err(|source| Error::UnusableLog { path: path.clone(), source })?;
        Ok(Self { id, replica, log, last_logged_term: Term::default() })
    }

    pub(crate) fn replica(&self) -> &Replica {
        &self.replica
    }

    pub(crate) fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// Writes the replica's pending records to its log, and returns its pending messages.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ReplicaLog::append`]. The caller must then drop the replica, because the content of its log is
    /// unknown.
    pub(crate) fn write_ready(&mut self) -> Result<OutgoingMessages, Error> {
        let Ready { records, to_replicas, to_clients, .. } = self.replica.take_ready();
        self.log.append(records)?;
        self.log_leadership();
        Ok(OutgoingMessages { to_replicas, to_clients })
    }

    /// Logs that this replica is the leader, once per term.
    fn log_leadership(&mut self) {
        let term = self.replica.progress().term;
        let leads = self.replica.leader() == Some(self.id);
        if leads && term > self.last_logged_term {
            self.last_logged_term = term;
            tracing::info!(term = term.0, "elected leader");
        }
    }
}
