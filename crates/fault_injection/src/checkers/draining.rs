//! Backends that drain get nothing new.

use super::fault_spans::{AffectedSpans, delayed_attempts};
use super::rules::{IneligibleSpan, NOTHING_TO_INELIGIBLE};
use super::{Bounds, Violation};
use crate::history::{Observation, Record, Span};
use serde_json::{Map, Value};
use std::collections::HashMap;
use std::time::Duration;

/// What a gatekeeper's log line says of a backend.
struct LoggedState {
    backend: String,
    accepts_requests: bool,
}

impl LoggedState {
    fn of(fields: &Map<String, Value>) -> Option<Self> {
        // The second name is that of older builds.
        let field = |name: &str, older_name: &str| fields.get(name).or_else(|| fields.get(older_name));
        let (Value::String(id), Value::Bool(accepts_requests)) =
            (field("backend", "server")?, field("eligible", "takes_work")?)
        else {
            return None;
        };
        // An id is logged with its node in front.
        let backend = id.rsplit('/').next().unwrap_or(id).to_owned();
        Some(Self { backend, accepts_requests: *accepts_requests })
    }
}

/// A gatekeeper and a backend.
type Pair<'a> = (&'a str, String);

/// When each gatekeeper knew which backends not to be eligible.
#[derive(Default)]
struct IneligibleSpans<'a> {
    /// Since when, for spans that have not ended.
    open: HashMap<Pair<'a>, Duration>,
    ended: HashMap<Pair<'a>, Vec<IneligibleSpan>>,
}

impl<'a> IneligibleSpans<'a> {
    fn of(history: &'a [Record]) -> Self {
        let mut spans = Self::default();
        history.iter().for_each(|record| spans.observe(record));
        let still_open: Vec<Pair<'_>> = spans.open.keys().cloned().collect();
        still_open.into_iter().for_each(|pair| spans.end(pair, Duration::MAX));
        spans
    }

    fn observe(&mut self, record: &'a Record) {
        let at = Duration::from_micros(record.at_us);
        match &record.observation {
            Observation::LogLine { process, fields, .. } => {
                let Some(state) = LoggedState::of(fields) else { return };
                let pair = (process.as_str(), state.backend);
                // The gatekeeper's own word counts anew each time.
                self.end(pair.clone(), at);
                if !state.accepts_requests {
                    self.open.insert(pair, at);
                }
            }
            Observation::EndpointNotified { gatekeeper, backend, accepts_requests } => {
                let pair = (gatekeeper.as_str(), backend.clone());
                if *accepts_requests {
                    self.end(pair, at);
                } else {
                    self.open.entry(pair).or_insert(at);
                }
            }
            Observation::ProcessStarted { process } => {
                let pairs: Vec<Pair<'_>> =
                    self.open.keys().filter(|(gatekeeper, _)| gatekeeper == process).cloned().collect();
                pairs.into_iter().for_each(|pair| self.end(pair, at));
            }
            _ => {}
        }
    }

    fn end(&mut self, pair: Pair<'a>, to: Duration) {
        if let Some(from) = self.open.remove(&pair) {
            self.ended.entry(pair).or_default().push(IneligibleSpan { from, to });
        }
    }

    /// The span in which an attempt was late by more than the grace.
    fn broken_by(
        &self,
        pair: &Pair<'a>,
        attempt: Duration,
        grace: Duration,
    ) -> Option<(IneligibleSpan, Duration)> {
        let spans = self.ended.get(pair)?;
        spans.iter().find_map(|span| Some((*span, span.lateness(attempt, grace)?)))
    }
}

/// The faults that excuse attempts at ineligible backends.
struct Excuses<'a> {
    affected: AffectedSpans<'a>,
    delayed: Vec<Span>,
    /// Faults excuse attempts for this long after their end.
    after_us: u64,
}

impl<'a> Excuses<'a> {
    fn of(history: &'a [Record], bounds: &Bounds) -> Self {
        Self {
            affected: AffectedSpans::of(history),
            delayed: delayed_attempts(history),
            after_us: (bounds.drain_ms + bounds.tolerance_ms + bounds.deadline_ms) * 1_000,
        }
    }

    /// A fault that ended after the backend became ineligible excuses attempts until the usual bounds after its end.
    fn excuse(&self, gatekeeper: &str, since: Duration, at_us: u64) -> bool {
        let since_us = since.as_micros() as u64;
        let mut faults = self.affected.of_gatekeeper(gatekeeper).iter().chain(&self.delayed);
        faults.any(|fault| {
            let covers = fault.from_us <= at_us && at_us <= fault.to_us.saturating_add(self.after_us);
            fault.to_us >= since_us && covers
        })
    }
}

/// Nothing new reaches a backend later than the bound after a gatekeeper's own log says that it drains, or after the gatekeeper
/// was notified. A notification while a fault affects the gatekeeper may be read later.
pub fn draining(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let spans = IneligibleSpans::of(history);
    let excuses = Excuses::of(history, bounds);
    let grace = Duration::from_millis(bounds.drain_ms + bounds.tolerance_ms);
    let mut violations = Vec::new();
    for record in history {
        let Observation::AttemptArrived { request_id, backend, gatekeeper } = &record.observation else {
            continue;
        };
        let pair = (gatekeeper.as_str(), backend.clone());
        let at = Duration::from_micros(record.at_us);
        let Some((span, lateness)) = spans.broken_by(&pair, at, grace) else { continue };
        if !excuses.excuse(gatekeeper, span.from, record.at_us) {
            let late_ms = lateness.as_millis();
            let text = format!(
                "operation {request_id} reached {backend} from {gatekeeper} {late_ms} ms after it said so"
            );
            violations.push(Violation::new(NOTHING_TO_INELIGIBLE, text).by(gatekeeper));
        }
    }
    violations
}
