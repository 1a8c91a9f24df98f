//! Requests, their attempts, and their final answers.

use policy::{BackendId, Micros, Outcome, RequestId, TenantId, Timestamp};
use std::sync::Arc;

/// A request as a front submits it.
#[derive(Debug)]
pub struct Request<Q> {
    /// The number of its class in the settings.
    pub class: u16,
    /// The number of its tenant's plan in the settings.
    pub plan: u32,
    /// Its tenant.
    pub tenant: TenantId,
    /// Time until it must have its final answer.
    pub time_left: Micros,
    /// The number of gatekeepers that its tenant's requests come through.
    pub tenant_gatekeepers: f64,
    /// Its cost in units of the quota.
    pub units: f64,
    /// The client marked it as a retry.
    pub client_retry: bool,
    /// The account of [`Status::accounts`](crate::Status::accounts) that its units are added to when it is first forwarded.
    pub account: Option<u32>,
    /// The content that is forwarded to a backend.
    pub payload: Q,
}

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The index of the attempt, from 0.
    pub attempt: u8,
}

/// An attempt that the backend side is to make.
#[derive(Debug)]
pub struct Attempt<Q> {
    /// Its id.
    pub id: AttemptId,
    /// The backend that the policy selected.
    pub backend: BackendId,
    /// The time of the decision, by [`Exchange::now`](crate::Exchange::now).
    pub decided_at: Timestamp,
    /// Maximum time from the decision to the answer.
    pub time_left: Micros,
    /// Maximum time from the decision to the write.
    pub max_start_delay: Micros,
    /// The content that is forwarded.
    pub payload: Arc<Q>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd<A> {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer to pass back, with [`Outcome::Ok`].
    pub answer: Option<A>,
    /// The load report, one value for each load metric of the settings; empty if there is none.
    pub load: Vec<f32>,
    /// Whether the answer has begun and continues: [`Exchange::stream_ended`](crate::Exchange::stream_ended) follows.
    pub is_streaming: bool,
}

impl<A> AttemptEnd<A> {
    /// An end without an answer.
    pub fn without_answer(outcome: Outcome) -> Self {
        Self { outcome, answer: None, load: Vec::new(), is_streaming: false }
    }
}

/// How a streamed answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The whole answer was passed on.
    Complete,
    /// The backend ended it before it was complete.
    Broken,
    /// The client disconnected.
    ClientGone,
}

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// Quota, ceiling or capacity do not allow it.
    NoCapacity,
    /// No backend was available.
    NoBackend,
    /// A backend failed.
    BackendFailed,
    /// The deadline passed.
    DeadlineExceeded,
}

/// The one final answer of a request.
#[derive(Debug)]
pub enum FinalAnswer<A> {
    /// A backend's answer.
    Served(A),
    /// The request was rejected and has had no effect, so a retry is safe.
    Rejected {
        /// Retry-After; 0 for none.
        retry_after: Micros,
        /// The reason.
        reason: FailureReason,
    },
    /// The request failed, and may have had an effect.
    Failed(FailureReason),
}

/// What a request takes from its tenant's quota when it is first forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// The tenant.
    pub tenant: TenantId,
    /// The number of its plan.
    pub plan: u32,
    /// The number of gatekeepers that its requests come through.
    pub tenant_gatekeepers: f64,
    /// Units.
    pub units: f64,
}

/// Called with the final answer of a request.
pub type Reply<A> = Box<dyn FnOnce(FinalAnswer<A>) + Send>;
