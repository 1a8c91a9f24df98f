//! Checks that draining backends receive no new attempts.

use super::fault_spans::{AffectedSpans, delayed_attempts};
use super::rules::{IneligibleSpan, NO_REQUEST_TO_INELIGIBLE};
use super::{Bounds, Violation};
use crate::history::{Observation, Record, Span};
use serde_json::{Map, Value};
use std::collections::HashMap;
use std::time::Duration;

/// The state of a backend as a gatekeeper's log line reports it.
struct LoggedState {
    backend: String,
    accepts_requests: bool,
}

impl LoggedState {
    fn of(fields: &Map<String, Value>) -> Option<Self> {
        // Older builds log the field under `older_name`.
        let field = |name: &str, older_name: &str| fields.get(name).or_else(|| fields.get(older_name));
        let (Value::String(id), Value::Bool(accepts_requests)) =
            (field("backend", "server")?, field("eligible", "takes_work")?)
        else {
            return None;
        };
        // The log names a backend as `node/id`.
        let backend = id.rsplit('/').next().unwrap_or(id).to_owned();
        Some(Self { backend, accepts_requests: *accepts_requests })
    }
}

/// Names of a gatekeeper and of a backend.
type Pair<'a> = (&'a str, String);

/// The spans in which each gatekeeper knew that a backend was not eligible.
#[derive(Default)]
struct IneligibleSpans<'a> {
    /// Start of each span that has not ended.
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
        let time = Duration::from_micros(record.at_us);
        match &record.observation {
            Observation::LogLine { process, fields, .. } => {
                let Some(state) = LoggedState::of(fields) else { return };
                let pair = (process.as_str(), state.backend);
                // Unlike a notification, each log line starts a new span.
                self.end(pair.clone(), time);
                if !state.accepts_requests {
                    self.open.insert(pair, time);
                }
            }
            Observation::EndpointNotified { gatekeeper, backend, accepts_requests } => {
                let pair = (gatekeeper.as_str(), backend.clone());
                if *accepts_requests {
                    self.end(pair, time);
                } else {
                    self.open.entry(pair).or_insert(time);
                }
            }
            Observation::ProcessStarted { process } => {
                let pairs: Vec<Pair<'_>> =
                    self.open.keys().filter(|(gatekeeper, _)| gatekeeper == process).cloned().collect();
                pairs.into_iter().for_each(|pair| self.end(pair, time));
            }
            _ => {}
        }
    }

    fn end(&mut self, pair: Pair<'a>, to: Duration) {
        if let Some(from) = self.open.remove(&pair) {
            self.ended.entry(pair).or_default().push(IneligibleSpan { from, to });
        }
    }

    /// The span in which the attempt arrived after the grace period, and by how much it was late.
    fn violated_span(
        &self,
        pair: &Pair<'a>,
        attempt: Duration,
        grace: Duration,
    ) -> Option<(IneligibleSpan, Duration)> {
        let spans = self.ended.get(pair)?;
        spans.iter().find_map(|span| Some((*span, span.lateness(attempt, grace)?)))
    }
}

/// The faults that permit late attempts at ineligible backends.
struct PermittingFaults<'a> {
    affected: AffectedSpans<'a>,
    delayed: Vec<Span>,
    /// Faults permit late attempts until this long after their end.
    after_us: u64,
}

impl<'a> PermittingFaults<'a> {
    fn of(history: &'a [Record], bounds: &Bounds) -> Self {
        Self {
            affected: AffectedSpans::of(history),
            delayed: delayed_attempts(history),
            after_us: (bounds.drain_ms + bounds.tolerance_ms + bounds.deadline_ms) * 1_000,
        }
    }

    /// Whether a fault permits an attempt at `at_us` to a backend that is ineligible since `since`. A fault that ended after the
    /// backend became ineligible does, until the sum of the usual bounds has passed after its end.
    fn permit_late_attempt(&self, gatekeeper: &str, since: Duration, at_us: u64) -> bool {
        let since_us = since.as_micros() as u64;
        let mut faults = self.affected.of_gatekeeper(gatekeeper).iter().chain(&self.delayed);
        faults.any(|fault| {
            let covers = fault.from_us <= at_us && at_us <= fault.to_us.saturating_add(self.after_us);
            fault.to_us >= since_us && covers
        })
    }
}

/// Checks that no attempt reaches a backend later than the bound after the gatekeeper logged that the backend drains, or was
/// notified of that. A gatekeeper that a fault affects may read a notification later.
pub fn draining(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let spans = IneligibleSpans::of(history);
    let faults = PermittingFaults::of(history, bounds);
    let grace = Duration::from_millis(bounds.drain_ms + bounds.tolerance_ms);
    let mut violations = Vec::new();
    for record in history {
        let Observation::AttemptArrived { request_id, backend, gatekeeper } = &record.observation else {
            continue;
        };
        let pair = (gatekeeper.as_str(), backend.clone());
        let time = Duration::from_micros(record.at_us);
        let Some((span, lateness)) = spans.violated_span(&pair, time, grace) else { continue };
        if !faults.permit_late_attempt(gatekeeper, span.from, record.at_us) {
            let late_ms = lateness.as_millis();
            let text = format!(
                "operation {request_id} reached {backend} from {gatekeeper} {late_ms} ms after it said so"
            );
            violations.push(Violation::new(NO_REQUEST_TO_INELIGIBLE, text).by(gatekeeper));
        }
    }
    violations
}
