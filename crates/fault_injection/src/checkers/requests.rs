//! Each request has one final answer.

use super::fault_spans::AffectedSpans;
use super::rules::{AnswerFault, ONE_FINAL_ANSWER, answer_fault};
use super::{Bounds, Violation};
use crate::history::{Observation, Outcome, Record, Span};
use std::collections::BTreeMap;
use std::time::Duration;

/// A request without an end so far.
struct OpenRequest<'a> {
    sent_us: u64,
    gatekeeper: &'a str,
}

/// Follows requests to their ends.
struct RequestChecker<'a> {
    affected: AffectedSpans<'a>,
    /// Time within which an answer is due.
    due: Duration,
    open: BTreeMap<u64, OpenRequest<'a>>,
    violations: Vec<Violation>,
}

impl<'a> RequestChecker<'a> {
    fn violation(&mut self, text: String) {
        self.violations.push(Violation::new(ONE_FINAL_ANSWER, text));
    }

    /// Whether the request went through a gatekeeper while a fault affected it, or one came up before the request's end.
    fn is_excused(&self, request: &OpenRequest<'_>, end_us: u64) -> bool {
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
        let Some(fault) = answer_fault(outcome, took, self.due) else { return };
        // No fault excuses an answer that is not the request's own.
        if fault != AnswerFault::Foreign && self.is_excused(&request, end_us) {
            return;
        }
        let (gatekeeper, took_ms) = (request.gatekeeper, took.as_millis());
        self.violation(match fault {
            AnswerFault::Foreign => {
                format!("operation {request_id} got the answer of another, by {gatekeeper}")
            }
            AnswerFault::Closed | AnswerFault::Missing => {
                format!("operation {request_id} has no answer from {gatekeeper} after {took_ms} ms")
            }
            AnswerFault::Late => {
                format!("operation {request_id} was answered by {gatekeeper} after {took_ms} ms")
            }
        });
    }

    /// Requests that are still open at the end of the history.
    fn finish(mut self, last_us: u64) -> Vec<Violation> {
        for (request_id, request) in std::mem::take(&mut self.open) {
            let waited = Duration::from_micros(last_us - request.sent_us);
            if waited > self.due && !self.is_excused(&request, last_us) {
                let gatekeeper = request.gatekeeper;
                self.violation(format!(
                    "operation {request_id} through {gatekeeper} never ended for its client"
                ));
            }
        }
        self.violations
    }
}

/// Each request that a gatekeeper accepted has one final answer, its own, and in time.
pub fn final_answers(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let mut checker = RequestChecker {
        affected: AffectedSpans::of(history),
        due: Duration::from_millis(bounds.deadline_ms + bounds.tolerance_ms),
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

/// Requests by their outcome: figures for a table, no rule.
pub fn outcomes(history: &[Record]) -> BTreeMap<Outcome, u64> {
    let mut counts = BTreeMap::new();
    for record in history {
        if let Observation::RequestEnded { outcome, .. } = &record.observation {
            *counts.entry(*outcome).or_default() += 1;
        }
    }
    counts
}
