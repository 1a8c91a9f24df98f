//! Ids of the requests in flight. A request whose id is in use is rejected.

use link::lock_or_abort;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

/// Ids of the requests in flight on this front.
#[derive(Default)]
pub(crate) struct OpenRequests {
    ids: Mutex<HashSet<Vec<u8>>>,
}

/// A request in flight. Dropping the value frees the request's id.
pub(crate) struct OpenRequest {
    requests: Arc<OpenRequests>,
    id: Vec<u8>,
}

impl OpenRequests {
    /// Registers a request; `None` if its id is in use.
    pub(crate) fn register(self: &Arc<Self>, id: Vec<u8>) -> Option<OpenRequest> {
        let is_new = lock_or_abort(&self.ids).insert(id.clone());
        is_new.then(|| OpenRequest { requests: self.clone(), id })
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        lock_or_abort(&self.requests.ids).remove(&self.id);
    }
}
