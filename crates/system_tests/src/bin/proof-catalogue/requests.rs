//! What a history says of requests.

use fault_injection::history::{Observation, Outcome, Record, Span};
use serde_json::Value;
use std::collections::HashSet;
use system_tests::seconds;

/// The share of answers that were a backend's, and how many answers there were.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServedShare {
    pub(crate) share: f64,
    pub(crate) answers: usize,
}

/// An answer.
pub(crate) struct Answer {
    pub(crate) at_us: u64,
    pub(crate) outcome: Outcome,
}

struct Arrival {
    at_us: u64,
    backend: String,
}

struct LogLine {
    at_us: u64,
    message: String,
    /// The field `reason`, or an empty string if the event has none.
    reason: String,
}

/// What a history says of requests.
#[derive(Default)]
pub(crate) struct Requests {
    pub(crate) answers: Vec<Answer>,
    arrivals: Vec<Arrival>,
    log: Vec<LogLine>,
}

impl Requests {
    pub(crate) fn of(history: &[Record]) -> Self {
        let mut sent = HashSet::new();
        let mut requests = Self::default();
        for Record { at_us, observation } in history {
            let at_us = *at_us;
            match observation {
                Observation::RequestSent { request_id, .. } => drop(sent.insert(*request_id)),
                // A request that was not accepted has no answer.
                Observation::RequestEnded { request_id, outcome }
                    if *outcome != Outcome::NotAccepted && sent.contains(request_id) =>
                {
                    requests.answers.push(Answer { at_us, outcome: *outcome });
                }
                Observation::AttemptArrived { backend, .. } => {
                    requests.arrivals.push(Arrival { at_us, backend: backend.clone() });
                }
                Observation::LogLine { text, fields, .. } => {
                    let reason = fields.get("reason").and_then(Value::as_str).unwrap_or_default();
                    requests.log.push(LogLine { at_us, message: text.clone(), reason: reason.to_owned() });
                }
                _ => {}
            }
        }
        requests
    }

    pub(crate) fn served(&self, span: Span) -> ServedShare {
        let within = |answer: &&Answer| answer.at_us >= span.from_us && answer.at_us < span.to_us;
        let answers = self.answers.iter().filter(within).count();
        let served = self.answers.iter().filter(within).filter(|a| a.outcome == Outcome::Served).count();
        ServedShare { share: served as f64 / answers.max(1) as f64, answers }
    }

    /// Arrivals at a backend after the begin of a span and before its end, us.
    fn arrivals(&self, backend: &str, span: Span) -> impl Iterator<Item = u64> {
        let at_backend = self.arrivals.iter().filter(move |arrival| arrival.backend == backend);
        at_backend
            .map(|arrival| arrival.at_us)
            .filter(move |&at_us| at_us > span.from_us && at_us < span.to_us)
    }

    /// How long after the begin of a span the last request of the span came to a backend, s.
    pub(crate) fn last_arrival_after(&self, backend: &str, span: Span) -> f64 {
        self.arrivals(backend, span).max().map_or(0.0, |last_us| seconds(last_us - span.from_us))
    }

    pub(crate) fn arrived(&self, backend: &str, span: Span) -> usize {
        self.arrivals(backend, span).count()
    }

    /// Returns the number of log events in a span whose message contains this text.
    pub(crate) fn logged(&self, span: Span, message: &str) -> usize {
        self.logged_with_reason(span, message, "")
    }

    /// Returns the number of log events in a span whose message and reason contain these texts.
    pub(crate) fn logged_with_reason(&self, span: Span, message: &str, reason: &str) -> usize {
        let within = self.log.iter().filter(|line| line.at_us >= span.from_us && line.at_us < span.to_us);
        within.filter(|line| line.message.contains(message) && line.reason.contains(reason)).count()
    }
}

#[cfg(test)]
mod tests;
