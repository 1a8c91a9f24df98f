//! The replicated state: versions, proposals, and the log commands that change them. Replicas that have applied the same commands
//! have the same state.

use crate::ids::ProposalId;
use crate::limits::MAX_TEXT_BYTES;
use crate::version::{ConfigVersion, LatestVersion, RolloutPhase, Version};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of activated versions whose texts are kept, including the version in force.
const MAX_HISTORY: usize = 16;
/// Maximum number of proposals whose outcomes are kept. A retry that arrives after this many other proposals is treated as a new
/// proposal.
const MAX_RECORDED_OUTCOMES: usize = 256;

/// A request to replace the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Proposal {
    /// The proposal's id. Retries repeat it, so that the proposal is applied at most once.
    pub id: ProposalId,
    /// The name of the user who proposes the version.
    pub proposed_by: String,
    /// If set, the proposal is accepted only while this version is in force.
    pub expected_version: Option<ConfigVersion>,
    /// The text of the new configuration.
    pub text: String,
}

/// A command in the log. The order of the variants is part of its encoding.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Command {
    /// Proposes a version.
    Propose(Proposal),
    /// Puts the proposed version of this number in force. The leader appends this command once every client that holds a lease
    /// knows of the version.
    Activate(ConfigVersion),
}

/// The outcome of a proposal. The order of the variants is part of its encoding.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum ProposalOutcome {
    /// The proposal was accepted, and became the version of this number.
    Accepted(ConfigVersion),
    /// The expected version is not in force.
    VersionConflict {
        /// Number of the version in force when the proposal was applied.
        in_force: ConfigVersion,
        /// The user who proposed the version in force.
        proposed_by: String,
    },
    /// Another version is proposed and not yet in force.
    RolloutInProgress {
        /// Number of the version whose rollout is in progress.
        version: ConfigVersion,
        /// The user who proposed the version whose rollout is in progress.
        proposed_by: String,
    },
    /// The proposed text is longer than [`MAX_TEXT_BYTES`].
    TooLarge,
    /// The leader found the text invalid, for this reason, and did not append the proposal to the log.
    Rejected(String),
}

/// The outcome of an earlier proposal.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
struct RecordedOutcome {
    proposal: ProposalId,
    outcome: ProposalOutcome,
}

/// The replicated state that results from applying the committed commands of the log in order.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ConfigState {
    /// Activated versions, oldest first. The last one is in force.
    history: VecDeque<Version>,
    proposed: Option<Version>,
    /// Outcomes of recent proposals, oldest first.
    outcomes: VecDeque<RecordedOutcome>,
}

impl ConfigState {
    /// Returns the version in force, or `None` before the first version is in force.
    pub fn in_force(&self) -> Option<&Version> {
        self.history.back()
    }

    /// Returns the version that is proposed and not yet in force; `None` if no rollout is in progress.
    pub fn proposed(&self) -> Option<&Version> {
        self.proposed.as_ref()
    }

    /// Returns the versions whose texts are kept, from the oldest to the one in force.
    pub fn history(&self) -> impl Iterator<Item = &Version> {
        self.history.iter()
    }

    /// Returns the outcome of a proposal if it is still recorded.
    pub fn outcome(&self, proposal: ProposalId) -> Option<&ProposalOutcome> {
        self.outcomes.iter().find(|recorded| recorded.proposal == proposal).map(|recorded| &recorded.outcome)
    }

    /// Returns the number of the latest version, proposed or in force; [`ConfigVersion::NONE`] before the first version is
    /// proposed.
    pub fn latest_number(&self) -> ConfigVersion {
        ConfigVersion::number_of(self.proposed().or(self.in_force()))
    }

    /// Returns the latest version and its phase. Before the first version the phase is [`RolloutPhase::InForce`].
    pub fn latest(&self) -> LatestVersion {
        let phase = match self.proposed {
            Some(_) => RolloutPhase::Proposed,
            None => RolloutPhase::InForce,
        };
        LatestVersion { number: self.latest_number(), phase }
    }

    /// Applies the next command. Returns the outcome if the command is a proposal.
    pub fn apply(&mut self, command: Command) -> Option<ProposalOutcome> {
        match command {
            Command::Propose(proposal) => Some(self.apply_proposal(proposal)),
            Command::Activate(number) => {
                self.activate(number);
                None
            }
        }
    }

    /// Applies a proposal, or returns its recorded outcome if it is a retry.
    fn apply_proposal(&mut self, proposal: Proposal) -> ProposalOutcome {
        let id = proposal.id;
        if let Some(recorded) = self.outcome(id) {
            return recorded.clone();
        }
        let outcome = self.propose(proposal);
        self.outcomes.push_back(RecordedOutcome { proposal: id, outcome: outcome.clone() });
        if self.outcomes.len() > MAX_RECORDED_OUTCOMES {
            self.outcomes.pop_front();
        }
        outcome
    }

    fn propose(&mut self, proposal: Proposal) -> ProposalOutcome {
        if proposal.text.len() > MAX_TEXT_BYTES {
            return ProposalOutcome::TooLarge;
        }
        if let Some(proposed) = &self.proposed {
            let proposed_by = proposed.proposed_by.clone();
            return ProposalOutcome::RolloutInProgress { version: proposed.number, proposed_by };
        }
        let no_version = Version::default();
        let in_force = self.in_force().unwrap_or(&no_version);
        if proposal.expected_version.is_some_and(|expected| expected != in_force.number) {
            let proposed_by = in_force.proposed_by.clone();
            return ProposalOutcome::VersionConflict { in_force: in_force.number, proposed_by };
        }
        let number = in_force.number.next();
        let Proposal { proposed_by, text, .. } = proposal;
        self.proposed = Some(Version { number, proposed_by, text });
        ProposalOutcome::Accepted(number)
    }

    /// Puts the proposed version in force. Does nothing unless the proposed version has this number.
    fn activate(&mut self, number: ConfigVersion) {
        let Some(version) = self.proposed.take_if(|version| version.number == number) else { return };
        self.history.push_back(version);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
