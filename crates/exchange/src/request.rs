//! Requests, their attempts, and their final answers.

use policy::{BackendId, Micros, Outcome, RequestId, TenantId, Timestamp};
use std::sync::Arc;

/// What a front submits.
#[derive(Debug)]
pub struct Request<Q> {
    /// Number of its class in the settings.
    pub class: u16,
    /// Number of its tenant's plan in the settings.
    pub plan: u32,
    /// Its tenant.
    pub tenant: TenantId,
    /// How long until it must have its final answer.
    pub time_left: Micros,
    /// How many gatekeepers its tenant's requests come through.
    pub tenant_gatekeepers: f64,
    /// Its cost in units of the quota.
    pub units: f64,
    /// The client marked it as a retry.
    pub client_retry: bool,
    /// Where its units are counted in [`Status::accounts`](crate::Status::accounts) when it is first forwarded.
    pub account: Option<u32>,
    /// What is forwarded to a backend.
    pub payload: Q,
}

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Attempts count from 0.
    pub attempt: u8,
}

/// An attempt to be made.
#[derive(Debug)]
pub struct Attempt<Q> {
    /// Its id.
    pub id: AttemptId,
    /// The backend that the policy selected.
    pub backend: BackendId,
    /// When it was decided, by [`Exchange::now`](crate::Exchange::now).
    pub decided_at: Timestamp,
    /// How long to wait for its answer, from then on.
    pub time_left: Micros,
    /// Nothing of it may be written later than this, from then on.
    pub max_start_delay: Micros,
    /// What is forwarded.
    pub payload: Arc<Q>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd<A> {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer to pass back, with [`Outcome::Ok`].
    pub answer: Option<A>,
    /// The load report, by the settings' columns; empty if none.
    pub load: Vec<f32>,
    /// The answer has begun and continues: [`Exchange::stream_ended`](crate::Exchange::stream_ended) follows.
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
    /// All of it was passed on.
    Complete,
    /// The backend broke it off.
    Broken,
    /// Its client disconnected.
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
    /// Its time ran out.
    DeadlineExceeded,
}

/// The one answer that each request gets.
#[derive(Debug)]
pub enum FinalAnswer<A> {
    /// A backend's answer.
    Served(A),
    /// Rejected: a retry is harmless.
    Rejected {
        /// Retry-After; 0 for none.
        retry_after: Micros,
        /// The reason.
        reason: FailureReason,
    },
    /// Failed, with no promise about its effect.
    Failed(FailureReason),
}

/// What a request takes from its tenant's quota when it is first forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// The tenant.
    pub tenant: TenantId,
    /// The number of its plan.
    pub plan: u32,
    /// Gatekeepers that its requests come through.
    pub tenant_gatekeepers: f64,
    /// Units.
    pub units: f64,
}

/// Called with the final answer of a request.
pub type Reply<A> = Box<dyn FnOnce(FinalAnswer<A>) + Send>;
