//! Checks that gatekeepers agree: on everything after the last fault, and on the version of the configuration at any time.

use super::fault_spans::{FaultSpan, fault_spans};
use super::{Bounds, Violation};
use crate::history::{Observation, Record};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

const CONVERGENCE_RULE: &str = "all agree again";
const CONTRADICTION_RULE: &str = "no two contradict each other";
/// Name of the fault kind by which the counter loses its state.
const COUNTER_LOSS: &str = "counter empty";
/// Name of the fault kind that suspends a process.
const SUSPENDED: &str = "stopped";

/// Checks that all gatekeepers agree again in time after the last fault.
pub fn convergence(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let violation = |text: String| Violation::new(CONVERGENCE_RULE, text);
    let is_counter_loss =
        |r: &Record| matches!(&r.observation, Observation::Fault { kind, .. } if kind == COUNTER_LOSS);
    let limit_ms = if history.iter().any(is_counter_loss) {
        bounds.convergence_after_counter_loss_ms
    } else {
        bounds.convergence_ms
    };
    let late = |record: &Record| match &record.observation {
        Observation::Converged { after_ms, divergence } if after_ms.is_none_or(|ms| ms > limit_ms) => {
            let after = after_ms.map_or("never".into(), |ms| format!("after {ms} ms"));
            Some(violation(format!("{after}, {limit_ms} ms allowed; apart: {divergence}")))
        }
        _ => None,
    };
    let mut violations: Vec<Violation> = history.iter().filter_map(late).collect();
    if !history.iter().any(|r| matches!(r.observation, Observation::Converged { .. })) {
        violations.push(violation("nobody has looked".into()));
    }
    violations
}

/// The versions that a gatekeeper acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ActiveVersions {
    /// The version that is in force at the gatekeeper.
    in_force: u64,
    /// The newest version that the gatekeeper has accepted: the proposed version if there is one, otherwise the version in
    /// force.
    newest: u64,
}

/// The state of a gatekeeper's versions as its log line reports it.
struct LoggedVersions {
    versions: ActiveVersions,
    has_lease: bool,
}

impl LoggedVersions {
    fn of(fields: &Map<String, Value>) -> Option<Self> {
        let number = |name: &str| fields.get(name).and_then(Value::as_u64);
        let (in_force, proposed) = (number("version")?, number("proposed")?);
        let newest = if proposed > 0 { proposed } else { in_force };
        let has_lease = fields.get("leased").and_then(Value::as_bool)?;
        Some(Self { versions: ActiveVersions { in_force, newest }, has_lease })
    }
}

/// The longest time for which two gatekeepers acted on versions that contradict each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contradiction {
    /// Duration in ms; 0 if there was no contradiction.
    pub longest_ms: u64,
    /// The two gatekeepers and their versions; empty if there was no contradiction.
    pub description: String,
}

/// Tracks the versions that gatekeepers act on, and the longest contradiction between them.
struct VersionTracker<'a> {
    suspensions: Vec<FaultSpan<'a>>,
    active: BTreeMap<&'a str, ActiveVersions>,
    /// The current contradiction: its start in us, and its description.
    current: Option<(u64, String)>,
    longest_us: u64,
    longest_description: String,
}

impl<'a> VersionTracker<'a> {
    /// Applies a record. Returns whether it may have changed which gatekeeper acts on which version.
    fn apply(&mut self, record: &'a Record) -> bool {
        match &record.observation {
            Observation::LogLine { process, fields, .. } => {
                let Some(logged) = LoggedVersions::of(fields) else { return false };
                if logged.has_lease {
                    self.active.insert(process, logged.versions);
                } else {
                    self.active.remove(process.as_str());
                }
                true
            }
            Observation::ProcessExited { process, .. } | Observation::ProcessStarted { process } => {
                self.active.remove(process.as_str());
                true
            }
            Observation::Fault { .. } => true,
            _ => false,
        }
    }

    fn is_suspended(&self, process: &str, at_us: u64) -> bool {
        self.suspensions.iter().any(|fault| {
            let is_active = fault.span.from_us <= at_us && at_us < fault.span.to_us;
            is_active && fault.affected.iter().any(|name| name == process)
        })
    }

    /// Describes the gatekeepers that are furthest behind and furthest ahead, if they contradict each other: the version in force
    /// at one is newer than any version that the other has accepted.
    fn contradiction(&self, at_us: u64) -> Option<String> {
        let running: Vec<(&str, ActiveVersions)> = self
            .active
            .iter()
            .filter(|(process, _)| !self.is_suspended(process, at_us))
            .map(|(process, versions)| (*process, *versions))
            .collect();
        let behind = running.iter().min_by_key(|(_, versions)| versions.newest)?;
        let ahead = running.iter().max_by_key(|(_, versions)| versions.in_force)?;
        let text = |(process, versions): &(&str, ActiveVersions)| {
            format!("{process} by ({}, {})", versions.in_force, versions.newest)
        };
        (ahead.1.in_force > behind.1.newest).then(|| format!("{}, {}", text(behind), text(ahead)))
    }

    fn update(&mut self, at_us: u64) {
        match self.contradiction(at_us) {
            Some(text) if self.current.is_none() => self.current = Some((at_us, text)),
            Some(_) => {}
            None => self.close(at_us),
        }
    }

    fn close(&mut self, at_us: u64) {
        if let Some((since_us, text)) = self.current.take()
            && at_us - since_us > self.longest_us
        {
            (self.longest_us, self.longest_description) = (at_us - since_us, text);
        }
    }
}

/// Finds the longest uninterrupted contradiction between the versions that two gatekeepers acted on.
///
/// The log lines of a gatekeeper state, with the time of its own clock, from when on it acts on which version. A gatekeeper that
/// is suspended or has no lease acts on no version.
pub fn longest_contradiction(history: &[Record]) -> Contradiction {
    let suspensions = fault_spans(history).into_iter().filter(|fault| fault.kind == SUSPENDED).collect();
    let mut tracker = VersionTracker {
        suspensions,
        active: BTreeMap::new(),
        current: None,
        longest_us: 0,
        longest_description: String::new(),
    };
    for record in history {
        if tracker.apply(record) {
            tracker.update(record.at_us);
        }
    }
    if let Some(last) = history.last() {
        tracker.close(last.at_us);
    }
    Contradiction { longest_ms: tracker.longest_us / 1_000, description: tracker.longest_description }
}

/// Checks that no two gatekeepers act on contradicting versions for longer than the bound.
pub fn contradicting_versions(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let Contradiction { longest_ms, description } = longest_contradiction(history);
    if longest_ms <= bounds.contradiction_ms {
        return Vec::new();
    }
    let text = format!("{longest_ms} ms, {} allowed: {description}", bounds.contradiction_ms);
    vec![Violation::new(CONTRADICTION_RULE, text)]
}
