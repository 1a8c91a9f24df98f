//! The rules that every site must keep. Their texts identify them in reports and tests, so they never change.

mod answers;
mod ceilings;
mod eligibility;
mod token_bucket;

#[cfg(test)]
mod tests;

pub use answers::{AnswerViolation, answer_fault};
pub use ceilings::{Admission, Excess, largest_excess};
pub use eligibility::IneligibleSpan;
pub use token_bucket::TokenBucket;

use crate::process::ExitRequest;

/// Each request gets exactly one final answer, within its deadline.
pub const ONE_FINAL_ANSWER: &str = "one final answer in time";
/// No tenant exceeds its hard ceiling.
pub const HARD_CEILING: &str = "hard ceiling";
/// No new request reaches a backend that is not eligible.
pub const NO_REQUEST_TO_INELIGIBLE: &str = "nothing new to who takes no work";
/// No process exits unless the harness asks it to.
pub const NO_UNREQUESTED_EXIT: &str = "no exit unasked";
/// A process that is asked to shut down exits with code 0.
pub const CLEAN_EXIT: &str = "a clean exit";

/// The rule that an exit breaks, if any. A process that the harness kills may exit with any code.
pub fn rule_broken_by_exit(request: ExitRequest, exit_code: i32) -> Option<&'static str> {
    match (request, exit_code) {
        (ExitRequest::None, _) => Some(NO_UNREQUESTED_EXIT),
        (ExitRequest::ShutDown, 0) | (ExitRequest::Kill, _) => None,
        (ExitRequest::ShutDown, _) => Some(CLEAN_EXIT),
    }
}
