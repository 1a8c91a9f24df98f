//! Ids of the requests in flight. A request whose id is in use is rejected.

use link::lock_or_abort;
use std::collections::{BTreeSet, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[cfg(test)]
mod tests;

/// Maximum number of ids that are held after their clients have disconnected.
const MAX_ABANDONED_IDS: usize = 4_096;

/// Ids of the requests in flight on this front.
#[derive(Default)]
pub(crate) struct OpenRequests {
    ids: Mutex<OpenIds>,
}

#[derive(Default)]
struct OpenIds {
    in_use: HashSet<Vec<u8>>,
    /// Ids in use whose clients have disconnected, in the order of the times until which a backend may still run their requests.
    abandoned: BTreeSet<AbandonedId>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct AbandonedId {
    held_until: Instant,
    id: Vec<u8>,
}

/// A request in flight. Dropping the value frees the request's id, unless the request is unanswered and must not run again.
pub(crate) struct OpenRequest {
    requests: Arc<OpenRequests>,
    id: Vec<u8>,
    /// The deadline of a request that is not idempotent and has no answer yet.
    held_until: Option<Instant>,
}

impl OpenRequests {
    /// Registers a request; `None` if its id is in use. If the request is not idempotent, `held_until` is its deadline: without
    /// an answer, its id stays in use until then, since a backend may run the request although its client has disconnected.
    pub(crate) fn register(
        self: &Arc<Self>,
        id: Vec<u8>,
        held_until: Option<Instant>,
    ) -> Option<OpenRequest> {
        let mut ids = lock_or_abort(&self.ids);
        ids.free_abandoned(Instant::now());
        let is_new = ids.in_use.insert(id.clone());
        is_new.then(|| OpenRequest { requests: self.clone(), id, held_until })
    }
}

impl OpenIds {
    /// Frees the abandoned ids that are not held any longer, and beyond the maximum those that are next.
    fn free_abandoned(&mut self, now: Instant) {
        while let Some(next) = self.abandoned.first()
            && (next.held_until <= now || self.abandoned.len() > MAX_ABANDONED_IDS)
        {
            self.in_use.remove(&next.id);
            self.abandoned.pop_first();
        }
    }
}

impl OpenRequest {
    /// Frees the id of a request that has its final answer.
    pub(crate) fn finish(mut self) {
        self.held_until = None;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut ids = lock_or_abort(&self.requests.ids);
        let id = std::mem::take(&mut self.id);
        match self.held_until {
            Some(held_until) => {
                ids.abandoned.insert(AbandonedId { held_until, id });
                ids.free_abandoned(Instant::now());
            }
            None => {
                ids.in_use.remove(&id);
            }
        }
    }
}
