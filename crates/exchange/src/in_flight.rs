//! A request in flight and its attempts.

use crate::request::{Admission, Reply};
use policy::{BackendId, Outcome, Timestamp};
use std::sync::Arc;

/// One attempt in the table.
pub(crate) struct InFlightAttempt {
    pub(crate) backend: BackendId,
    pub(crate) sent_at: Timestamp,
    pub(crate) is_open: bool,
    /// How it ended.
    pub(crate) outcome: Option<Outcome>,
}

/// A request in the table.
pub(crate) struct InFlightRequest<Q, A> {
    pub(crate) payload: Arc<Q>,
    /// Taken when the final answer is given or the client disconnects.
    pub(crate) reply: Option<Reply<A>>,
    pub(crate) deadline: Timestamp,
    pub(crate) admission: Admission,
    pub(crate) account: Option<u32>,
    pub(crate) class: u16,
    /// The service of its class.
    pub(crate) service: u16,
    pub(crate) attempts: Vec<InFlightAttempt>,
    pub(crate) last_outcome: Option<Outcome>,
    /// Its answer has begun and continues: it is counted when that ends.
    pub(crate) is_streaming: bool,
}

impl<Q, A> InFlightRequest<Q, A> {
    /// Whether it has its final answer, or needs none.
    pub(crate) fn is_over(&self) -> bool {
        self.reply.is_none()
    }

    pub(crate) fn has_open_attempts(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_open)
    }
}
