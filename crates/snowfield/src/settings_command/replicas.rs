//! Calls to the replicas that a file names, with that file's keys.

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

/// All replicas are tried for this long.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(10);
/// One that has not answered within this is given up for the next.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two rounds of all replicas.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Who proposes, where the environment names nobody.
const UNKNOWN_USER: &str = "somebody";

/// The replicas, as a client sees them.
pub(super) struct Replicas<'a> {
    replicas: &'a [ReplicaConfig],
    keys: Keyring,
}

impl<'a> Replicas<'a> {
    /// The replicas of the file `path`.
    ///
    /// # Errors
    ///
    /// The key file cannot be read or used.
    pub(super) fn new(
        config: &ApplianceConfig,
        replication: &'a ReplicationConfig,
        path: &Path,
    ) -> Result<Self, Error> {
        Ok(Self { replicas: &replication.replicas, keys: keyring(config, path)? })
    }

    /// Proposes a version. It is accepted only if `expected_version` is in force, where one is given.
    ///
    /// # Errors
    ///
    /// No majority answers.
    pub(super) fn propose(
        &self,
        text: String,
        expected_version: Option<u64>,
    ) -> Result<ProposalOutcome, Error> {
        let proposed_by = std::env::var("USER").unwrap_or_else(|_| UNKNOWN_USER.into());
        // The same id in each attempt: a proposal whose answer was lost is accepted once.
        let id = ProposalId(unique_number());
        let expected_version = expected_version.map(ConfigVersion);
        let message = Message::Propose(Proposal { id, proposed_by, expected_version, text });
        let is_answer =
            |answer: &Message| matches!(answer, Message::ProposalOutcome { proposal, .. } if *proposal == id);
        match self.call_leader(&message, is_answer)? {
            Message::ProposalOutcome { outcome, .. } => Ok(outcome),
            _ => Err(Error::UnexpectedAnswer),
        }
    }

    /// The version in force and the proposed one.
    ///
    /// # Errors
    ///
    /// No majority answers.
    pub(super) fn versions(&self) -> Result<VersionTexts, Error> {
        let id = RequestId(unique_number());
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

    /// Sends a message to one replica after the other until one of them is the leader and answers.
    fn call_leader(&self, message: &Message, is_answer: impl Fn(&Message) -> bool) -> Result<Message, Error> {
        let until = Instant::now() + TOTAL_TIMEOUT;
        let mut last = String::new();
        while Instant::now() < until {
            for replica in self.replicas {
                let is_any_answer = |answer: &Message| is_answer(answer) || is_redirect(answer);
                match config_node::call(replica.address, &self.keys, message, REPLICA_TIMEOUT, is_any_answer)
                {
                    Ok(answer) if is_answer(&answer) => return Ok(answer),
                    Ok(_) => last = format!("{} does not lead", replica.name),
                    Err(error) => last = format!("{}: {error}", replica.name),
                }
            }
            std::thread::sleep(RETRY_PAUSE);
        }
        Err(Error::NoMajority { last })
    }
}

/// The answer of a replica that is not the leader.
fn is_redirect(answer: &Message) -> bool {
    matches!(answer, Message::RedirectLeaseRequest { .. } | Message::RedirectProposal { .. })
}

/// A number that no other call has.
fn unique_number() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    now ^ u64::from(std::process::id()).rotate_left(40)
}
