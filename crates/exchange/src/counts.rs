//! The figures that operators read.

use crate::request::{FinalAnswer, StreamEnd};
use policy::{BackendId, BackendState, RejectReason};
use std::collections::BTreeMap;

/// Final answers by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Answers of a backend.
    pub served: u64,
    /// Rejections.
    pub rejected: u64,
    /// Failures.
    pub failed: u64,
}

/// The kind of a final answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AnswerKind {
    Served,
    Rejected,
    Failed,
}

impl AnswerKind {
    pub(crate) fn of<A>(answer: &FinalAnswer<A>) -> Self {
        match answer {
            FinalAnswer::Served(_) => Self::Served,
            FinalAnswer::Rejected { .. } => Self::Rejected,
            FinalAnswer::Failed(_) => Self::Failed,
        }
    }

    /// The kind that a streamed answer counts as; `None` if its client disconnected.
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

/// The outcomes of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests that are submitted and not over, or whose answers are streaming.
    pub pending: usize,
    /// Final answers by number of the class.
    pub classes: Vec<AnswerCounts>,
    /// Rejections by the policy, in the order of [`RejectReason::ALL`].
    pub rejections: [u64; RejectReason::ALL.len()],
}

/// State and load of one backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendStatus {
    /// Whether it is eligible.
    pub state: BackendState,
    /// Attempts in flight.
    pub in_flight: usize,
}

/// Figures for the operators' console.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Requests without a final answer.
    pub unanswered: usize,
    /// Final answers so far.
    pub answers: AnswerCounts,
    /// Units of the forwarded requests. A request counts once, however many attempts it has.
    pub units_forwarded: f64,
    /// The same units by account.
    pub accounts: BTreeMap<u32, f64>,
    /// Calls made to the counter.
    pub counter_calls: u64,
    /// State and load of each backend.
    pub backends: BTreeMap<BackendId, BackendStatus>,
}
