//! Linearizable reads. A lease request is answered after a quorum has confirmed, in a round that started after the request
//! arrived, that this replica still leads. One round is open at a time. Requests that arrive meanwhile wait for the next round.

use super::MAX_PENDING;
use crate::message::LeaseRequest;
use std::collections::BTreeMap;

/// Lease requests, grouped by the confirmation round that they wait for.
#[derive(Default)]
pub(super) struct ReadRounds {
    /// Requests that arrived since the last round started, at most one from each client.
    waiting: Vec<LeaseRequest>,
    /// Requests of the open round, by the round's number.
    open: BTreeMap<u64, Vec<LeaseRequest>>,
    next_round: u64,
}

impl ReadRounds {
    /// Adds a request to the next round. Only the newest request of a client is kept, whatever the order of arrival: the client
    /// has given up on its earlier ones. At the limit the request is dropped, and its client retries.
    pub(super) fn enqueue(&mut self, request: LeaseRequest) {
        let has_capacity = self.waiting.len() < MAX_PENDING;
        match self.waiting.iter_mut().find(|other| other.client == request.client) {
            Some(other) if other.id < request.id => *other = request,
            None if has_capacity => self.waiting.push(request),
            _ => {}
        }
    }

    /// Returns whether requests wait and no round is open.
    pub(super) fn can_start(&self) -> bool {
        !self.waiting.is_empty() && self.open.is_empty()
    }

    /// Starts a round for all waiting requests. Returns the context that identifies the round in the Raft library.
    pub(super) fn start(&mut self) -> Vec<u8> {
        let round = self.next_round;
        self.next_round += 1;
        self.open.insert(round, std::mem::take(&mut self.waiting));
        round.to_be_bytes().to_vec()
    }

    /// Ends the round with this context and returns its requests.
    pub(super) fn finish(&mut self, context: Vec<u8>) -> Vec<LeaseRequest> {
        let round = context.try_into().map_or(u64::MAX, u64::from_be_bytes);
        self.open.remove(&round).unwrap_or_default()
    }

    /// Drops all requests. Their clients retry.
    pub(super) fn clear(&mut self) {
        self.open.clear();
        self.waiting.clear();
    }
}
