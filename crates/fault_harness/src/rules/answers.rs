//! Each request has one final answer, its own, and in time.

use crate::outcome::Outcome;
use std::time::Duration;

/// What is wrong with the end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// It got an answer that is not its own.
    Foreign,
    /// The gatekeeper closed its connection without an answer.
    Closed,
    /// It got no answer while its client waited.
    Missing,
    /// Its answer came later than it was due.
    Late,
}

/// What is wrong with a request that ended like this after `took`, where its answer was due within `due`. A fault may still be
/// excused: an answer may be missing if its gatekeeper was killed, and a request may be closed unread.
pub fn answer_fault(outcome: Outcome, took: Duration, due: Duration) -> Option<AnswerFault> {
    match outcome {
        Outcome::Foreign => Some(AnswerFault::Foreign),
        Outcome::Closed => Some(AnswerFault::Closed),
        Outcome::Unanswered => Some(AnswerFault::Missing),
        Outcome::Served | Outcome::Rejected | Outcome::Failed => (took > due).then_some(AnswerFault::Late),
        Outcome::NotAccepted | Outcome::Left => None,
    }
}
