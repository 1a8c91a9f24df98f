//! Messages from other nodes, and from this node's own replica.

use super::Driver;
use crate::event::ConnectionId;
use replicated_config::{
    ConfigVersion, LeaseRequest, LeaseResponse, Message, Proposal, ProposalOutcome, RolloutPhase,
    VersionNumbers, VersionTexts,
};

impl Driver {
    /// Handles a message. `connection` is the one that it came by, where the other side has opened it.
    pub(super) fn on_message(&mut self, connection: Option<ConnectionId>, message: Message) {
        let now_ms = self.now_ms();
        match message {
            Message::Raft(message) => {
                if let Some(local) = &mut self.local {
                    local.replica.on_raft_message(now_ms, *message);
                }
            }
            Message::LeaseRequest(request) => {
                if let Some(connection) = connection {
                    self.routes.insert(request.client.clone(), connection);
                }
                self.on_lease_request(request);
            }
            Message::Propose(proposal) => {
                // Proposers open a connection; by one that this node has opened there is none.
                if let Some(connection) = connection {
                    self.on_proposal(connection, proposal);
                }
            }
            Message::LeaseResponse(response, texts) => self.on_lease_response(now_ms, response, *texts),
            Message::RedirectLeaseRequest { request, leader } => {
                if self.lease_client.on_redirect(request, leader) {
                    self.next_request_ms = now_ms;
                }
            }
            Message::VersionChanged(_) => self.next_request_ms = now_ms,
            Message::ProposalOutcome { .. } | Message::RedirectProposal { .. } => {}
        }
    }

    pub(super) fn on_lease_request(&mut self, request: LeaseRequest) {
        let now_ms = self.now_ms();
        match &mut self.local {
            Some(local) => local.replica.on_lease_request(now_ms, request),
            None => {
                let redirect = Message::RedirectLeaseRequest { request: request.id, leader: None };
                self.send_to_client(&request.client, redirect);
            }
        }
    }

    fn on_proposal(&mut self, connection: ConnectionId, proposal: Proposal) {
        let now_ms = self.now_ms();
        let (proposer, id) = (connection.to_string(), proposal.id);
        let validity = (self.validator)(&proposal.text);
        match (&mut self.local, validity) {
            (Some(local), Ok(())) => local.replica.propose(now_ms, &proposer, proposal),
            (Some(_), Err(invalid)) => {
                let outcome = ProposalOutcome::Rejected(invalid.to_string());
                self.send_to_client(&proposer, Message::ProposalOutcome { proposal: id, outcome });
            }
            (None, _) => {
                let redirect = Message::RedirectProposal { proposal: id, leader: None };
                self.send_to_client(&proposer, redirect);
            }
        }
    }

    fn on_lease_response(&mut self, now_ms: u64, response: LeaseResponse, texts: VersionTexts) {
        let latest_before = self.lease_client.latest();
        if !self.lease_client.on_response(response) {
            return;
        }
        if self.lease_client.latest() != latest_before {
            // By asking again this node tells the leader that it knows of the change.
            self.next_request_ms = now_ms;
        }
        let numbers = match response.phase {
            RolloutPhase::InForce => {
                VersionNumbers { in_force: response.version, proposed: ConfigVersion::NONE }
            }
            RolloutPhase::Proposed => {
                VersionNumbers { in_force: response.version.previous(), proposed: response.version }
            }
        };
        self.view.update(self.now_ms(), numbers, texts, self.lease_client.expires_at_ms());
    }
}
