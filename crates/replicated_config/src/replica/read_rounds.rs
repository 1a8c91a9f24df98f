//! Linearizable reads with Raft's ReadIndex protocol. A lease request is answered after a quorum has confirmed, in a round that
//! started after the request arrived, that this replica still leads. One round is open at a time. Requests that arrive meanwhile
//! wait for the next round.

use super::MAX_PENDING_REQUESTS;
use crate::message::LeaseRequest;

/// Identifies a confirmation round of one replica.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct RoundId(u64);

impl RoundId {
    fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Encodes the id as a context of the Raft library, which returns the context when the round is confirmed.
    fn to_context(self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }

    /// Decodes the id of a round from a context, or returns `None` if the context does not encode one.
    fn from_context(context: Vec<u8>) -> Option<Self> {
        context.try_into().ok().map(|bytes| Self(u64::from_be_bytes(bytes)))
    }
}

/// A round that a quorum has yet to confirm.
struct OpenRound {
    id: RoundId,
    requests: Vec<LeaseRequest>,
}

/// Lease requests, grouped by the confirmation round that they wait for.
#[derive(Default)]
pub(super) struct ReadRounds {
    /// Requests that arrived since the last round started, at most one from each client.
    waiting: Vec<LeaseRequest>,
    open: Option<OpenRound>,
    next_id: RoundId,
}

impl ReadRounds {
    /// Adds a request to the next round. Keeps only the newest request of each client, in whichever order they arrive, because
    /// the client no longer accepts a response to an earlier request. If [`MAX_PENDING_REQUESTS`] requests wait, drops the
    /// request of a further client; that client retries.
    pub(super) fn enqueue(&mut self, request: LeaseRequest) {
        let has_capacity = self.waiting.len() < MAX_PENDING_REQUESTS;
        match self.waiting.iter_mut().find(|other| other.client == request.client) {
            Some(other) if other.id < request.id => *other = request,
            None if has_capacity => self.waiting.push(request),
            _ => {}
        }
    }

    /// Returns whether requests wait and no round is open.
    pub(super) fn can_start(&self) -> bool {
        !self.waiting.is_empty() && self.open.is_none()
    }

    /// Starts a round for all waiting requests. Returns the context that identifies the round in the Raft library.
    pub(super) fn start(&mut self) -> Vec<u8> {
        let id = self.next_id;
        self.next_id = id.next();
        self.open = Some(OpenRound { id, requests: std::mem::take(&mut self.waiting) });
        id.to_context()
    }

    /// Ends the open round if `context` identifies it, and returns the requests of the round. Returns no request for any other
    /// context, such as the context of a dropped round.
    pub(super) fn finish(&mut self, context: Vec<u8>) -> Vec<LeaseRequest> {
        let confirmed = RoundId::from_context(context);
        let round = self.open.take_if(|round| Some(round.id) == confirmed);
        round.map_or_else(Vec::new, |round| round.requests)
    }

    /// Drops the open round and all waiting requests. Their clients retry.
    pub(super) fn clear(&mut self) {
        self.open = None;
        self.waiting.clear();
    }
}

#[cfg(test)]
mod tests;
