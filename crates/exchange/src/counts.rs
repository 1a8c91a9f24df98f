//! Counts of requests and answers, and the load of backends, for the operators' console and metrics.

use crate::request::{FinalAnswer, StreamEnd};
use policy::{BackendId, BackendState, RejectReason};
use std::collections::BTreeMap;

/// Numbers of final answers since the start of the process, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Number of requests that were answered by a backend.
    pub served: u64,
    /// Number of requests that were rejected ([`FinalAnswer::Rejected`]), so that a retry by the client is safe.
    pub rejected: u64,
    /// Number of requests that failed ([`FinalAnswer::Failed`]) and may have had an effect, which a retry may repeat.
    pub failed: u64,
}

/// The kind under which [`AnswerCounts`] counts a final answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AnswerKind {
    Served,
    Rejected,
    Failed,
}

impl AnswerKind {
    pub(crate) fn of_answer<A>(answer: &FinalAnswer<A>) -> Self {
        match answer {
            FinalAnswer::Served(_) => Self::Served,
            FinalAnswer::Rejected { .. } => Self::Rejected,
            FinalAnswer::Failed(_) => Self::Failed,
        }
    }

    /// The kind that a streamed answer counts as when its stream ends; `None` if the client disconnected.
    pub(crate) fn of_stream(end: StreamEnd) -> Option<Self> {
        match end {
            StreamEnd::Complete => Some(Self::Served),
            StreamEnd::Broken => Some(Self::Failed),
            StreamEnd::ClientGone => None,
        }
    }
}

impl AnswerCounts {
    pub(crate) fn add(&mut self, kind: AnswerKind) {
        match kind {
            AnswerKind::Served => self.served += 1,
            AnswerKind::Rejected => self.rejected += 1,
            AnswerKind::Failed => self.failed += 1,
        }
    }
}

/// Numbers of requests by outcome since the start of the process, for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Number of requests without a final answer, except those of disconnected clients, plus requests whose answers are still
    /// streaming.
    pub pending: usize,
    /// Numbers of final answers, indexed by the number of the class. A streamed answer is counted when its stream ends.
    pub classes: Vec<AnswerCounts>,
    /// Numbers of rejections by the policy, indexed in the order of [`RejectReason::ALL`].
    pub rejections: [u64; RejectReason::ALL.len()],
}

/// State of one backend by the endpoint list, and its load from this gatekeeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendStatus {
    /// Whether the backend is eligible for new attempts, by the endpoint list.
    pub state: BackendState,
    /// Number of this gatekeeper's attempts in flight at the backend.
    pub in_flight: usize,
}

/// Counts since the start of the process and the present load, for the operators' console.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Number of requests that wait for their final answer.
    pub unanswered: usize,
    /// Final answers so far. A streamed answer is counted when it begins.
    pub answers: AnswerCounts,
    /// Cost of the forwarded requests, in units of the quota. A request counts once, however many attempts it has.
    pub units_forwarded: f64,
    /// `units_forwarded` by account ([`Request::account`](crate::Request::account)), without requests that have no account.
    pub accounts: BTreeMap<u32, f64>,
    /// Number of calls to the quota counter, including those that read the fleet's clock.
    pub counter_calls: u64,
    /// State and load of each known backend, by id.
    pub backends: BTreeMap<BackendId, BackendStatus>,
}
