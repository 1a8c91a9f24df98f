//! A client of the replicas that agree on the plans.

use crate::cluster_settings::keyring;
use crate::error::Error;
use config_node::{
    ConfigVersion, LeaseRequest, Message, Proposal, ProposalId, ProposalOutcome, RequestId, VersionNumbers,
    VersionTexts,
};
use membership::authentication::Keyring;
use settings::appliance::{ApplianceConfig, ReplicaConfig, ReplicationConfig};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Timeout for a call to the leader, which includes the calls to other replicas and all retries.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the answer of one replica.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between calling the last replica and calling all replicas again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Name of the proposer if the environment variable `USER` is not set.
const UNKNOWN_USER: &str = "somebody";

/// The addresses of the replicas, with the keys that authenticate messages to and from them.
pub(super) struct Replicas<'a> {
    replicas: &'a [ReplicaConfig],
    keys: Keyring,
}

impl<'a> Replicas<'a> {
    /// Creates a client of the replicas in the configuration file `path`.
    ///
    /// # Errors
    ///
    /// The key file cannot be read, or is invalid.
    pub(super) fn new(
        config: &ApplianceConfig,
        replication: &'a ReplicationConfig,
        path: &Path,
    ) -> Result<Self, Error> {
        Ok(Self { replicas: &replication.replicas, keys: keyring(config, path)? })
    }

    /// Proposes a version of the plans. With an `expected_version`, the proposal is accepted only if that version is in force.
    ///
    /// # Errors
    ///
    /// No leader answers in time.
    pub(super) fn propose(
        &self,
        text: String,
        expected_version: Option<u64>,
    ) -> Result<ProposalOutcome, Error> {
        let proposed_by = std::env::var("USER").unwrap_or_else(|_| UNKNOWN_USER.into());
        // All retries of a proposal have the same id, so that a proposal whose answer was lost is accepted only once.
        let id = ProposalId(unique_id());
        let expected_version = expected_version.map(ConfigVersion);
        let message = Message::Propose(Proposal { id, proposed_by, expected_version, text });
        let is_answer =
            |answer: &Message| matches!(answer, Message::ProposalOutcome { proposal, .. } if *proposal == id);
        match self.call_leader(&message, is_answer)? {
            Message::ProposalOutcome { outcome, .. } => Ok(outcome),
            _ => Err(Error::UnexpectedAnswer),
        }
    }

    /// Reads the version in force, and the proposed version if a rollout is in progress.
    ///
    /// # Errors
    ///
    /// No leader answers in time.
    pub(super) fn versions(&self) -> Result<VersionTexts, Error> {
        let id = RequestId(unique_id());
        let request = Message::LeaseRequest(LeaseRequest {
            client: format!("console-{id}"),
            id,
            wants_lease: false,
            known_version: ConfigVersion::NONE,
            cached: VersionNumbers::default(),
        });
        match self.call_leader(&request, |answer| matches!(answer, Message::LeaseResponse(..)))? {
            Message::LeaseResponse(_, texts) => Ok(*texts),
            _ => Err(Error::UnexpectedAnswer),
        }
    }

    /// Sends a message to one replica after the other until the leader answers.
    fn call_leader(&self, message: &Message, is_answer: impl Fn(&Message) -> bool) -> Result<Message, Error> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let mut last_failure = String::new();
        while Instant::now() < deadline {
            for replica in self.replicas {
                let is_reply = |reply: &Message| is_answer(reply) || is_redirect(reply);
                match config_node::call_replica(
                    replica.address,
                    &self.keys,
                    message,
                    REPLICA_TIMEOUT,
                    is_reply,
                ) {
                    Ok(answer) if is_answer(&answer) => return Ok(answer),
                    Ok(_) => last_failure = format!("{} is not the leader", replica.name),
                    Err(error) => last_failure = format!("{}: {error}", replica.name),
                }
            }
            std::thread::sleep(RETRY_DELAY);
        }
        Err(Error::NoMajority { last_failure })
    }
}

/// Whether the answer comes from a replica that is not the leader.
fn is_redirect(answer: &Message) -> bool {
    matches!(answer, Message::RedirectLeaseRequest { .. } | Message::RedirectProposal { .. })
}

/// Returns an id that no other call is likely to use. It combines the time with the process id.
fn unique_id() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    now ^ u64::from(std::process::id()).rotate_left(40)
}
