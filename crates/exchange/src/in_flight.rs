//! A request in flight and its attempts.

use crate::request::{Admission, AttemptId, Reply};
use policy::{BackendId, Outcome, RequestId, Timestamp};
use std::sync::Arc;

/// An attempt of a request in flight.
pub(crate) struct InFlightAttempt {
    pub(crate) backend: BackendId,
    pub(crate) sent_at: Timestamp,
    /// How the attempt ended; `None` while the attempt is open.
    pub(crate) outcome: Option<Outcome>,
}

impl InFlightAttempt {
    pub(crate) fn is_open(&self) -> bool {
        self.outcome.is_none()
    }
}

/// A request that has no final answer yet, or has open attempts.
pub(crate) struct InFlightRequest<Q, A> {
    pub(crate) payload: Arc<Q>,
    /// Callback for the final answer; `None` after the final answer or after the client disconnects.
    pub(crate) reply: Option<Reply<A>>,
    pub(crate) deadline: Timestamp,
    pub(crate) admission: Admission,
    pub(crate) account: Option<u32>,
    pub(crate) class: u16,
    /// The service that the class of the request belongs to.
    pub(crate) service: u16,
    pub(crate) attempts: Vec<InFlightAttempt>,
    pub(crate) last_outcome: Option<Outcome>,
    /// Whether the answer may be streamed. Otherwise the request fails if its answer is too large to be buffered.
    pub(crate) may_stream: bool,
    /// Whether the answer has begun and continues. The request is then counted in its class when the stream ends.
    pub(crate) is_streaming: bool,
}

impl<Q, A> InFlightRequest<Q, A> {
    /// Whether the request has its final answer, or needs none because its client has disconnected.
    pub(crate) fn is_over(&self) -> bool {
        self.reply.is_none()
    }

    pub(crate) fn has_open_attempts(&self) -> bool {
        self.attempts.iter().any(InFlightAttempt::is_open)
    }

    /// Ids of the open attempts. `id` is the id of this request.
    pub(crate) fn open_attempts(&self, id: RequestId) -> impl Iterator<Item = AttemptId> {
        let open = self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_open());
        open.map(move |(attempt, _)| AttemptId { request: id, attempt: attempt as u8 })
    }
}
