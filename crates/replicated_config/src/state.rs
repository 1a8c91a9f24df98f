//! The replicated state: versions, proposals, and the commands of the log that change them. Each replica has the same state after
//! the same commands.

use crate::ids::ProposalId;
use crate::limits::MAX_TEXT_BYTES;
use crate::version::{ConfigVersion, Version};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Activated versions whose texts are kept, including the one in force.
const MAX_HISTORY: usize = 16;
/// Proposals whose outcomes are kept. A retry that comes after that many other proposals counts as a new proposal.
const MAX_RECORDED_OUTCOMES: usize = 256;

/// A request to replace the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Proposal {
    /// The same for each retry, so that the proposal is applied at most once.
    pub id: ProposalId,
    /// Who proposes it.
    pub proposed_by: String,
    /// The version that must be in force for the proposal to be accepted; none where any may be.
    pub expected_version: Option<ConfigVersion>,
    /// The new configuration.
    pub text: String,
}

/// A command in the log. The order of the variants is part of its encoding.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Command {
    /// Propose a version.
    Propose(Proposal),
    /// Put the proposed version of this number in force: no client holds a lease on the version before it alone.
    Activate(ConfigVersion),
}

/// What became of a proposal. The order of the variants is part of its encoding.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum ProposalOutcome {
    /// Accepted as the version of this number.
    Accepted(ConfigVersion),
    /// Another version than the expected one is in force.
    VersionConflict {
        /// The version in force.
        in_force: ConfigVersion,
        /// Who proposed it.
        proposed_by: String,
    },
    /// Another version is proposed and not yet in force.
    RolloutInProgress {
        /// That version.
        version: ConfigVersion,
        /// Who proposed it.
        proposed_by: String,
    },
    /// The text is longer than [`MAX_TEXT_BYTES`].
    TooLarge,
    /// The leader found the text invalid, for this reason. Nothing was appended to the log.
    Rejected(String),
}

/// The outcome of an earlier proposal.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
struct RecordedOutcome {
    proposal: ProposalId,
    outcome: ProposalOutcome,
}

/// The state after all committed commands.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ConfigState {
    /// Versions that were put in force; the last one is in force.
    history: VecDeque<Version>,
    proposed: Option<Version>,
    /// The oldest first.
    outcomes: VecDeque<RecordedOutcome>,
}

impl ConfigState {
    /// The version in force.
    pub fn in_force(&self) -> Option<&Version> {
        self.history.back()
    }

    /// The version that is to follow it.
    pub fn proposed(&self) -> Option<&Version> {
        self.proposed.as_ref()
    }

    /// The kept versions, from the oldest to the one in force.
    pub fn history(&self) -> impl Iterator<Item = &Version> {
        self.history.iter()
    }

    /// The outcome of a proposal, if it is still recorded.
    pub fn outcome(&self, proposal: ProposalId) -> Option<&ProposalOutcome> {
        self.outcomes.iter().find(|recorded| recorded.proposal == proposal).map(|recorded| &recorded.outcome)
    }

    /// The number of the latest version, proposed or in force; 0 before the first.
    pub fn latest_number(&self) -> ConfigVersion {
        self.proposed.as_ref().or(self.in_force()).map_or(ConfigVersion::NONE, |version| version.number)
    }

    /// Applies the next command. Returns the outcome of a proposal.
    pub fn apply(&mut self, command: Command) -> Option<ProposalOutcome> {
        match command {
            Command::Propose(proposal) => Some(self.apply_proposal(proposal)),
            Command::Activate(number) => {
                self.activate(number);
                None
            }
        }
    }

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
        if let Some(open) = &self.proposed {
            let proposed_by = open.proposed_by.clone();
            return ProposalOutcome::RolloutInProgress { version: open.number, proposed_by };
        }
        let in_force = self.in_force().map_or(ConfigVersion::NONE, |version| version.number);
        if proposal.expected_version.is_some_and(|expected| expected != in_force) {
            let proposed_by = self.in_force().map_or_else(String::new, |version| version.proposed_by.clone());
            return ProposalOutcome::VersionConflict { in_force, proposed_by };
        }
        let number = in_force.next();
        let Proposal { proposed_by, text, .. } = proposal;
        self.proposed = Some(Version { number, proposed_by, text });
        ProposalOutcome::Accepted(number)
    }

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
