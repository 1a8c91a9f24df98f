//! Responses, arrivals at backends and log events of a history.

use fault_injection::history::{Observation, Outcome, Record, Span};
use serde_json::Value;
use std::collections::HashSet;
use std::time::Duration;

/// Numbers of responses within a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResponseCounts {
    pub(crate) all: usize,
    /// Responses that came from a backend.
    pub(crate) served: usize,
}

impl ResponseCounts {
    /// Returns the share of responses that came from a backend, or 0 if there are no responses.
    pub(crate) fn served_share(self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }
}

struct Response {
    at_us: u64,
    outcome: Outcome,
}

struct Arrival {
    at_us: u64,
    backend: String,
}

struct LogEvent {
    at_us: u64,
    message: String,
    /// The field `reason`, or an empty string if the event has none.
    reason: String,
}

/// Responses, arrivals at backends and log events of a history.
#[derive(Default)]
pub(crate) struct Requests {
    responses: Vec<Response>,
    arrivals: Vec<Arrival>,
    log_events: Vec<LogEvent>,
}

impl Requests {
    pub(crate) fn of(history: &[Record]) -> Self {
        let mut sent = HashSet::new();
        let mut requests = Self::default();
        for Record { at_us, observation } in history {
            let at_us = *at_us;
            match observation {
                Observation::RequestSent { request_id, .. } => drop(sent.insert(*request_id)),
                // A request that was not accepted has no response.
                Observation::RequestEnded { request_id, outcome }
                    if *outcome != Outcome::NotAccepted && sent.contains(request_id) =>
                {
                    requests.responses.push(Response { at_us, outcome: *outcome });
                }
                Observation::AttemptArrived { backend, .. } => {
                    requests.arrivals.push(Arrival { at_us, backend: backend.clone() });
                }
                Observation::LogLine { text, fields, .. } => {
                    let reason = fields.get("reason").and_then(Value::as_str).unwrap_or_default();
                    let event = LogEvent { at_us, message: text.clone(), reason: reason.to_owned() };
                    requests.log_events.push(event);
                }
                _ => {}
            }
        }
        requests
    }

    /// Counts the responses within a span, including its start but not its end.
    pub(crate) fn responses(&self, span: Span) -> ResponseCounts {
        let within = || self.responses.iter().filter(|response| is_within(response.at_us, span));
        let served = within().filter(|response| response.outcome == Outcome::Served);
        ResponseCounts { all: within().count(), served: served.count() }
    }

    /// Returns the share of responses within a span that came from a backend.
    pub(crate) fn served_share(&self, span: Span) -> f64 {
        self.responses(span).served_share()
    }

    /// Returns the time of the first response from a backend after `from_us`, or `None` if there is none.
    pub(crate) fn first_served_after_us(&self, from_us: u64) -> Option<u64> {
        let is_first = |response: &&Response| response.at_us > from_us && response.outcome == Outcome::Served;
        self.responses.iter().find(is_first).map(|response| response.at_us)
    }

    /// Returns the times in microseconds of the arrivals at a backend after the start of a span and before its end.
    fn arrivals_us(&self, backend: &str, span: Span) -> impl Iterator<Item = u64> {
        let arrivals_at_backend = self.arrivals.iter().filter(move |arrival| arrival.backend == backend);
        arrivals_at_backend
            .map(|arrival| arrival.at_us)
            .filter(move |&at_us| at_us > span.from_us && at_us < span.to_us)
    }

    /// Returns the time from the start of a span to the last arrival at a backend within it, or zero if there are no arrivals.
    pub(crate) fn last_arrival_after(&self, backend: &str, span: Span) -> Duration {
        let last_us = self.arrivals_us(backend, span).max();
        last_us.map_or(Duration::ZERO, |last_us| Duration::from_micros(last_us - span.from_us))
    }

    /// Counts the arrivals at a backend within a span.
    pub(crate) fn arrival_count(&self, backend: &str, span: Span) -> usize {
        self.arrivals_us(backend, span).count()
    }

    /// Counts the log events within a span whose message contains this text.
    pub(crate) fn log_event_count(&self, span: Span, message: &str) -> usize {
        self.log_event_count_with_reason(span, message, "")
    }

    /// Counts the log events within a span whose message and field `reason` contain these texts. An empty text matches any.
    pub(crate) fn log_event_count_with_reason(&self, span: Span, message: &str, reason: &str) -> usize {
        let within = self.log_events.iter().filter(|event| is_within(event.at_us, span));
        within.filter(|event| event.message.contains(message) && event.reason.contains(reason)).count()
    }
}

fn is_within(at_us: u64, span: Span) -> bool {
    (span.from_us..span.to_us).contains(&at_us)
}

#[cfg(test)]
mod tests;
