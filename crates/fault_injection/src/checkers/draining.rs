//! Backends that drain get nothing new.

use super::fault_spans::{AffectedSpans, delayed_attempts};
use super::rules::NOTHING_TO_INELIGIBLE;
use super::{Bounds, Violation};
use crate::history::{Observation, Record, Span};
use serde_json::{Map, Value};
use std::collections::HashMap;

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

/// What each gatekeeper knows to be draining.
struct DrainChecker<'a> {
    bounds: &'a Bounds,
    affected: AffectedSpans<'a>,
    delayed: Vec<Span>,
    /// By gatekeeper and backend: since when, us.
    draining_since: HashMap<(&'a str, String), u64>,
    violations: Vec<Violation>,
}

impl<'a> DrainChecker<'a> {
    fn observe(&mut self, record: &'a Record) {
        match &record.observation {
            Observation::LogLine { process, fields, .. } => {
                let Some(state) = LoggedState::of(fields) else { return };
                let key = (process.as_str(), state.backend);
                if state.accepts_requests {
                    self.draining_since.remove(&key);
                } else {
                    self.draining_since.insert(key, record.at_us);
                }
            }
            Observation::EndpointNotified { gatekeeper, backend, accepts_requests } => {
                let key = (gatekeeper.as_str(), backend.clone());
                if *accepts_requests {
                    self.draining_since.remove(&key);
                } else {
                    self.draining_since.entry(key).or_insert(record.at_us);
                }
            }
            Observation::ProcessStarted { process } => {
                self.draining_since.retain(|(gatekeeper, _), _| gatekeeper != process);
            }
            Observation::AttemptArrived { request_id, backend, gatekeeper } => {
                self.attempt(*request_id, backend, gatekeeper, record.at_us);
            }
            _ => {}
        }
    }

    fn attempt(&mut self, request_id: u64, backend: &str, gatekeeper: &'a str, at_us: u64) {
        let key = (gatekeeper, backend.to_owned());
        let Some(&since_us) = self.draining_since.get(&key) else { return };
        let late_ms = (at_us - since_us) / 1_000;
        if late_ms > self.bounds.drain_ms + self.bounds.tolerance_ms
            && !self.is_excused(gatekeeper, since_us, at_us)
        {
            let text = format!(
                "operation {request_id} reached {backend} from {gatekeeper} {late_ms} ms after it said so"
            );
            self.violations.push(Violation::new(NOTHING_TO_INELIGIBLE, text).by(gatekeeper));
        }
    }

    /// A fault that ended after the backend began to drain excuses attempts until the usual bounds after its end.
    fn is_excused(&self, gatekeeper: &str, since_us: u64, at_us: u64) -> bool {
        let bounds = self.bounds;
        let after_us = (bounds.drain_ms + bounds.tolerance_ms + bounds.deadline_ms) * 1_000;
        let mut faults = self.affected.of_gatekeeper(gatekeeper).iter().chain(&self.delayed);
        faults.any(|fault| {
            let covers = fault.from_us <= at_us && at_us <= fault.to_us.saturating_add(after_us);
            fault.to_us >= since_us && covers
        })
    }
}

/// Nothing new reaches a backend later than the bound after a gatekeeper's own log says that it drains, or after the gatekeeper
/// was notified. A notification while a fault affects the gatekeeper may be read later.
pub fn draining(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let mut checker = DrainChecker {
        bounds,
        affected: AffectedSpans::of(history),
        delayed: delayed_attempts(history),
        draining_since: HashMap::new(),
        violations: Vec::new(),
    };
    history.iter().for_each(|record| checker.observe(record));
    checker.violations
}
