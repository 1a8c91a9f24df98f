//! Handles messages from other nodes and from the replica on this node.

use super::Driver;
use crate::connection_id::ConnectionId;
use replicated_config::{LeaseRequest, LeaseResponse, Message, Proposal, ProposalOutcome, VersionTexts};
use timestamps::MonotonicTime;

impl Driver {
    /// Handles a message. `connection` is the id of the connection on which the message arrived, or `None` if this node opened
    /// that connection.
    pub(super) fn on_message(&mut self, connection: Option<ConnectionId>, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Raft(message) => {
                if let Some(local) = &mut self.local_replica {
                    local.replica_mut().on_raft_message(now, *message);
                }
            }
            Message::LeaseRequest(request) => {
                if let Some(connection) = connection {
                    self.clients.set_route(&request.client, connection);
                }
                self.on_lease_request(request);
            }
            Message::Propose(proposal) => {
                // Proposers open a connection to this node, so a proposal without one is ignored.
                if let Some(connection) = connection {
                    self.on_proposal(connection, proposal);
                }
            }
            Message::LeaseResponse(response, texts) => self.on_lease_response(now, response, *texts),
            Message::RedirectLeaseRequest { request, leader } => {
                self.lease_requester.on_redirect(now, request, leader);
            }
            Message::VersionChanged(_) => self.lease_requester.request_at_once(now),
            Message::ProposalOutcome { .. } | Message::RedirectProposal { .. } => {}
        }
    }

    /// Passes a lease request to the local replica. Without a local replica, answers with a redirect that names no leader.
    pub(super) fn on_lease_request(&mut self, request: LeaseRequest) {
        let now = self.clock.now();
        match &mut self.local_replica {
            Some(local) => local.replica_mut().on_lease_request(now, request),
            None => {
                let redirect = Message::RedirectLeaseRequest { request: request.id, leader: None };
                self.send_to_client(&request.client, redirect);
            }
        }
    }

    /// Validates a proposal and passes it to the local replica. Without a local replica, answers with a redirect that names no
    /// leader.
    fn on_proposal(&mut self, connection: ConnectionId, proposal: Proposal) {
        let now = self.clock.now();
        let (proposer, id) = (connection.to_string(), proposal.id);
        let validity = (self.validator)(&proposal.text);
        match (&mut self.local_replica, validity) {
            (Some(local), Ok(())) => local.replica_mut().propose(now, &proposer, proposal),
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

    /// Updates the node's [`ConfigView`](crate::ConfigView) if the lease client accepts the response.
    fn on_lease_response(&mut self, now: MonotonicTime, response: LeaseResponse, texts: VersionTexts) {
        if let Some(numbers) = self.lease_requester.on_response(now, response) {
            let expires_at = self.lease_requester.expires_at();
            self.view.update_versions(self.clock.now(), numbers, texts, expires_at);
        }
    }
}
