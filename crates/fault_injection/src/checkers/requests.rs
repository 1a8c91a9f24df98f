//! Checks that each request has exactly one final answer.

use super::fault_spans::AffectedSpans;
use super::rules::{AnswerViolation, ONE_FINAL_ANSWER, answer_fault};
use super::{Bounds, Violation};
use crate::history::{Observation, Outcome, Record, Span};
use std::collections::BTreeMap;
use std::time::Duration;

/// A request that has not ended.
struct OpenRequest<'a> {
    sent_us: u64,
    gatekeeper: &'a str,
}

/// Tracks requests from their start to their end.
struct RequestChecker<'a> {
    affected: AffectedSpans<'a>,
    /// Time within which a request must be answered.
    time_limit: Duration,
    open: BTreeMap<u64, OpenRequest<'a>>,
    violations: Vec<Violation>,
}

impl<'a> RequestChecker<'a> {
    fn violation(&mut self, text: String) {
        self.violations.push(Violation::new(ONE_FINAL_ANSWER, text));
    }

    /// Whether a fault affected the request's gatekeeper at any time between the start and the end of the request.
    fn was_affected_by_fault(&self, request: &OpenRequest<'_>, end_us: u64) -> bool {
        self.affected.overlap(request.gatekeeper, Span { from_us: request.sent_us, to_us: end_us })
    }

    fn sent(&mut self, request_id: u64, request: OpenRequest<'a>) {
        if self.open.insert(request_id, request).is_some() {
            self.violation(format!("operation {request_id} was asked twice"));
        }
    }

    fn ended(&mut self, request_id: u64, outcome: Outcome, end_us: u64) {
        let Some(request) = self.open.remove(&request_id) else {
            if outcome != Outcome::NotAccepted {
                self.violation(format!("operation {request_id} has more than one end"));
            }
            return;
        };
        let took = Duration::from_micros(end_us - request.sent_us);
        let Some(fault) = answer_fault(outcome, took, self.time_limit) else { return };
        // No fault permits the answer to another request.
        if fault != AnswerViolation::Foreign && self.was_affected_by_fault(&request, end_us) {
            return;
        }
        let (gatekeeper, took_ms) = (request.gatekeeper, took.as_millis());
        self.violation(match fault {
            AnswerViolation::Foreign => {
                format!("operation {request_id} got the answer of another, by {gatekeeper}")
            }
            AnswerViolation::Closed | AnswerViolation::Missing => {
                format!("operation {request_id} has no answer from {gatekeeper} after {took_ms} ms")
            }
            AnswerViolation::Late => {
                format!("operation {request_id} was answered by {gatekeeper} after {took_ms} ms")
            }
        });
    }

    /// Checks the requests that are still open at the end of the history, and returns all violations.
    fn finish(mut self, last_us: u64) -> Vec<Violation> {
        for (request_id, request) in std::mem::take(&mut self.open) {
            let waited = Duration::from_micros(last_us - request.sent_us);
            if waited > self.time_limit && !self.was_affected_by_fault(&request, last_us) {
                let gatekeeper = request.gatekeeper;
                self.violation(format!(
                    "operation {request_id} through {gatekeeper} never ended for its client"
                ));
            }
        }
        self.violations
    }
}

/// Checks that each request that a gatekeeper accepted gets exactly one final answer, its own, in time.
pub fn final_answers(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let mut checker = RequestChecker {
        affected: AffectedSpans::of(history),
        time_limit: Duration::from_millis(bounds.deadline_ms + bounds.tolerance_ms),
        open: BTreeMap::new(),
        violations: Vec::new(),
    };
    for record in history {
        match &record.observation {
            Observation::RequestSent { request_id, gatekeeper, .. } => {
                checker.sent(*request_id, OpenRequest { sent_us: record.at_us, gatekeeper });
            }
            Observation::RequestEnded { request_id, outcome } => {
                checker.ended(*request_id, *outcome, record.at_us);
            }
            _ => {}
        }
    }
    checker.finish(history.last().map_or(0, |record| record.at_us))
}

/// Counts requests by outcome, for reports.
pub fn outcomes(history: &[Record]) -> BTreeMap<Outcome, u64> {
    let mut counts = BTreeMap::new();
    for record in history {
        if let Observation::RequestEnded { outcome, .. } = &record.observation {
            *counts.entry(*outcome).or_default() += 1;
        }
    }
    counts
}
