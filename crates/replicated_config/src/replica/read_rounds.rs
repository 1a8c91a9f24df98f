//! Linearizable reads: lease requests wait until a majority has confirmed, in a round that started after they came, that this
//! replica still leads. One round is open at a time; what comes meanwhile waits for the next one.

use super::MAX_PENDING;
use crate::message::LeaseRequest;
use std::collections::BTreeMap;

/// Lease requests by the round of confirmation that they wait for.
#[derive(Default)]
pub(super) struct ReadRounds {
    /// Requests that came since the last round started, one for each client.
    waiting: Vec<LeaseRequest>,
    /// Requests of the open round, by its number.
    open: BTreeMap<u64, Vec<LeaseRequest>>,
    next_round: u64,
}

impl ReadRounds {
    /// Adds a request. Of several requests of one client the newest is the one that it still waits for, in whatever order they
    /// come. where the limit is reached, the request is dropped and the client retries.
    pub(super) fn enqueue(&mut self, request: LeaseRequest) {
        let has_capacity = self.waiting.len() < MAX_PENDING;
        match self.waiting.iter_mut().find(|other| other.client == request.client) {
            Some(other) if other.id < request.id => *other = request,
            None if has_capacity => self.waiting.push(request),
            _ => {}
        }
    }

    /// Whether requests wait and no round is open.
    pub(super) fn can_start(&self) -> bool {
        !self.waiting.is_empty() && self.open.is_empty()
    }

    /// Starts a round for all waiting requests. Returns the context by which the library will name it.
    pub(super) fn start(&mut self) -> Vec<u8> {
        let round = self.next_round;
        self.next_round += 1;
        self.open.insert(round, std::mem::take(&mut self.waiting));
        round.to_be_bytes().to_vec()
    }

    /// Ends the round of this context. Returns its requests.
    pub(super) fn finish(&mut self, context: Vec<u8>) -> Vec<LeaseRequest> {
        let round = context.try_into().map_or(u64::MAX, u64::from_be_bytes);
        self.open.remove(&round).unwrap_or_default()
    }

    /// Drops all requests; their clients ask again.
    pub(super) fn clear(&mut self) {
        self.open.clear();
        self.waiting.clear();
    }
}
