//! Each request has one final answer.

use super::fault_spans::AffectedSpans;
use super::rules::ONE_FINAL_ANSWER;
use super::{Bounds, Violation};
use crate::history::{Observation, Outcome, Record, Span};
use std::collections::BTreeMap;

/// A request without an end so far.
struct OpenRequest<'a> {
    sent_us: u64,
    gatekeeper: &'a str,
}

/// Follows requests to their ends.
struct RequestChecker<'a> {
    affected: AffectedSpans<'a>,
    longest_us: u64,
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
        let took_us = end_us - request.sent_us;
        let (gatekeeper, took_ms) = (request.gatekeeper, took_us / 1_000);
        match outcome {
            Outcome::Foreign => {
                self.violation(format!("operation {request_id} got the answer of another, by {gatekeeper}"));
            }
            Outcome::Unanswered if !self.is_excused(&request, end_us) => {
                let text =
                    format!("operation {request_id} has no answer from {gatekeeper} after {took_ms} ms");
                self.violation(text);
            }
            Outcome::Served | Outcome::Rejected | Outcome::Failed
                if took_us > self.longest_us && !self.is_excused(&request, end_us) =>
            {
                let text = format!("operation {request_id} was answered by {gatekeeper} after {took_ms} ms");
                self.violation(text);
            }
            _ => {}
        }
    }

    /// Requests that are still open at the end of the history.
    fn finish(mut self, last_us: u64) -> Vec<Violation> {
        for (request_id, request) in std::mem::take(&mut self.open) {
            if last_us - request.sent_us > self.longest_us && !self.is_excused(&request, last_us) {
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
        longest_us: (bounds.deadline_ms + bounds.tolerance_ms) * 1_000,
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
