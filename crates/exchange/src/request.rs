//! Requests, their attempts, and their final answers.

use policy::{BackendId, Micros, Outcome, RequestId, TenantId, Timestamp};
use std::sync::Arc;

/// A request as a front submits it.
#[derive(Debug)]
pub struct Request<Q> {
    /// The number of the request's class in the settings.
    pub class: u16,
    /// The number of the tenant's plan in the settings.
    pub plan: u32,
    /// The tenant whose quota the request takes from.
    pub tenant: TenantId,
    /// Time from the submission within which the request must get its final answer.
    pub time_left: Micros,
    /// The number of gatekeepers that receive requests of the tenant.
    pub tenant_gatekeepers: f64,
    /// Cost of the request in units of the quota.
    pub units: f64,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
    /// The account in [`Status::accounts`](crate::Status::accounts) to which the units of the request are added when the request
    /// is first forwarded; `None` if no account counts them.
    pub account: Option<u32>,
    /// The content that is forwarded to a backend.
    pub payload: Q,
}

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The index of the attempt among those of its request, from 0.
    pub attempt: u8,
}

/// An attempt that the backend side must send.
#[derive(Debug)]
pub struct Attempt<Q> {
    /// Identifies the attempt in the calls between the exchange and the backend side.
    pub id: AttemptId,
    /// The backend that the policy selected.
    pub backend: BackendId,
    /// The time at which the policy decided on the attempt, by [`Exchange::now`](crate::Exchange::now).
    pub decided_at: Timestamp,
    /// Maximum time from `decided_at` until the answer.
    pub time_left: Micros,
    /// Maximum time from `decided_at` until the attempt is written.
    pub max_start_delay: Micros,
    /// The content that is forwarded to the backend.
    pub payload: Arc<Q>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd<A> {
    /// The outcome, which is passed to the policy.
    pub outcome: Outcome,
    /// The answer to give to the client. Used only with [`Outcome::Ok`].
    pub answer: Option<A>,
    /// The load that the backend reported, one value for each load metric of the settings; empty if the backend reported no load.
    pub load: Vec<f32>,
    /// Whether the answer has begun and is still streaming. [`Exchange::stream_ended`](crate::Exchange::stream_ended) reports its
    /// end later.
    pub is_streaming: bool,
}

impl<A> AttemptEnd<A> {
    /// The end of an attempt that has no answer and no load report.
    pub fn without_answer(outcome: Outcome) -> Self {
        Self { outcome, answer: None, load: Vec::new(), is_streaming: false }
    }
}

/// How a streamed answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The whole answer was forwarded to the client.
    Complete,
    /// The backend's answer ended before it was complete.
    Broken,
    /// The client disconnected.
    ClientGone,
}

/// Why a request was rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The quota, the ceiling or the capacity did not permit the request, or its last attempt was rejected or not sent.
    NoCapacity,
    /// No backend was eligible, or the last attempt could not connect.
    NoBackend,
    /// The last attempt may have run and failed, for example with an error or a broken connection.
    BackendFailed,
    /// The deadline of the request, or the timeout of its last attempt, passed.
    DeadlineExceeded,
}

/// The final answer of a request. Each request gets exactly one, unless its client disconnects first.
#[derive(Debug)]
pub enum FinalAnswer<A> {
    /// The request was served: this is the answer of a backend.
    Served(A),
    /// The request was rejected and has had no effect, so a retry is safe.
    Rejected {
        /// Time after which the client may retry (Retry-After); 0 if none is given.
        retry_after: Micros,
        /// Why the request was rejected.
        reason: FailureReason,
    },
    /// The request failed for this reason, and may have had an effect.
    Failed(FailureReason),
}

/// What a request takes from its tenant's quota when it is first forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// The tenant whose quota is charged.
    pub tenant: TenantId,
    /// The number of the tenant's plan in the settings.
    pub plan: u32,
    /// The number of gatekeepers that receive requests of the tenant.
    pub tenant_gatekeepers: f64,
    /// Cost of the request in units of the quota.
    pub units: f64,
}

/// The callback that gets the final answer of a request.
pub type Reply<A> = Box<dyn FnOnce(FinalAnswer<A>) + Send>;
