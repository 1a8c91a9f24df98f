//! Checks that each request gets one final answer, which is its own and in time.

use crate::outcome::Outcome;
use std::time::Duration;

/// What is wrong with the way a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerViolation {
    /// The client got an answer that does not belong to its request.
    Foreign,
    /// The gatekeeper closed the client's connection without an answer.
    Closed,
    /// The client got no answer while it waited.
    Missing,
    /// The client got the answer after it was due.
    Late,
}

/// Returns what is wrong with a request that ended with `outcome` after `took`, if its answer was due within `due`. The caller
/// may still excuse a fault: an answer may be missing if the gatekeeper was killed, and a gatekeeper may close a connection
/// before it has read the request.
pub fn answer_fault(outcome: Outcome, took: Duration, due: Duration) -> Option<AnswerViolation> {
    match outcome {
        Outcome::Foreign => Some(AnswerViolation::Foreign),
        Outcome::Closed => Some(AnswerViolation::Closed),
        Outcome::Unanswered => Some(AnswerViolation::Missing),
        Outcome::Served | Outcome::Rejected | Outcome::Failed => {
            (took > due).then_some(AnswerViolation::Late)
        }
        Outcome::NotAccepted | Outcome::Left => None,
    }
}
