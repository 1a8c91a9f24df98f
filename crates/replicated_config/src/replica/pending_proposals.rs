//! Proposals that the leader has appended to its log, and the proposers that wait for their outcomes.

use super::MAX_PENDING_REQUESTS;
use crate::ids::ProposalId;
use std::collections::HashMap;

/// The names of the proposers that wait for an outcome, by proposal.
#[derive(Default)]
pub(super) struct PendingProposals {
    proposers: HashMap<ProposalId, String>,
}

impl PendingProposals {
    /// Records the proposer of a proposal. A retry replaces the proposer, who may have reconnected under another name. Returns
    /// whether the proposal was pending already.
    pub(super) fn insert(&mut self, proposal: ProposalId, proposer: &str) -> bool {
        self.proposers.insert(proposal, proposer.to_owned()).is_some()
    }

    /// Returns whether the number of pending proposals exceeds [`MAX_PENDING_REQUESTS`].
    pub(super) fn exceeds_limit(&self) -> bool {
        self.proposers.len() > MAX_PENDING_REQUESTS
    }

    /// Removes a proposal and returns its proposer.
    pub(super) fn remove(&mut self, proposal: ProposalId) -> Option<String> {
        self.proposers.remove(&proposal)
    }

    /// Removes all proposals. Their proposers retry.
    pub(super) fn clear(&mut self) {
        self.proposers.clear();
    }
}
