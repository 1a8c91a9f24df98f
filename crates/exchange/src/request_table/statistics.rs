//! Counts of requests, answers and units for the operators' console and metrics.

use crate::counts::{AnswerCounts, AnswerKind, OutcomeCounts};
use crate::request::StreamEnd;
use policy::RejectReason;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Counts of requests, answers and units since the start of the process.
#[derive(Debug, Default)]
pub(super) struct Statistics {
    outcomes: OutcomeCounts,
    answers: AnswerCounts,
    units_forwarded: f64,
    units_by_account: BTreeMap<u32, f64>,
}

impl Statistics {
    /// Creates counts of 0 for this many classes.
    pub(super) fn new(classes: usize) -> Self {
        let classes = vec![AnswerCounts::default(); classes];
        Self { outcomes: OutcomeCounts { classes, ..OutcomeCounts::default() }, ..Self::default() }
    }

    /// Extends the counts to the number of classes in new settings. Counts of removed classes stay.
    pub(super) fn add_classes(&mut self, classes: usize) {
        let classes = classes.max(self.outcomes.classes.len());
        self.outcomes.classes.resize(classes, AnswerCounts::default());
    }

    pub(super) fn request_submitted(&mut self) {
        self.outcomes.pending += 1;
    }

    /// Counts the final answer of a request. A streamed answer is counted in its class only when the stream ends.
    pub(super) fn request_answered(&mut self, class: u16, kind: AnswerKind, is_streaming: bool) {
        self.answers.add(kind);
        if !is_streaming {
            self.outcomes.pending -= 1;
            self.count_answer(class, kind);
        }
    }

    pub(super) fn stream_ended(&mut self, class: u16, end: StreamEnd) {
        self.outcomes.pending -= 1;
        if let Some(kind) = AnswerKind::of_stream(end) {
            self.count_answer(class, kind);
        }
    }

    /// Counts the end of a request whose client has disconnected before the final answer.
    pub(super) fn client_disconnected(&mut self) {
        self.outcomes.pending -= 1;
    }

    /// Counts a rejection by the policy.
    pub(super) fn count_reject_reason(&mut self, reason: RejectReason) {
        self.outcomes.rejections[reason as usize] += 1;
    }

    /// Counts an answer in the class of its request.
    pub(super) fn count_answer(&mut self, class: u16, kind: AnswerKind) {
        if let Some(counts) = self.outcomes.classes.get_mut(usize::from(class)) {
            counts.add(kind);
        }
    }

    /// Counts the units of a request that is forwarded for the first time.
    pub(super) fn count_units(&mut self, account: Option<u32>, units: f64) {
        self.units_forwarded += units;
        if let Some(account) = account {
            *self.units_by_account.entry(account).or_insert(0.0) += units;
        }
    }

    pub(super) fn outcomes(&self) -> &OutcomeCounts {
        &self.outcomes
    }

    pub(super) fn answers(&self) -> AnswerCounts {
        self.answers
    }

    pub(super) fn units_forwarded(&self) -> f64 {
        self.units_forwarded
    }

    pub(super) fn units_by_account(&self) -> &BTreeMap<u32, f64> {
        &self.units_by_account
    }
}
