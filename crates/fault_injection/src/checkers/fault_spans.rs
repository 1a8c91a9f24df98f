//! When faults were on, and what they excuse.

use crate::history::{Observation, Record};
use std::collections::HashMap;

/// A span of time, us, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Span {
    pub(super) from_us: u64,
    pub(super) to_us: u64,
}

/// A fault from its begin to its end.
#[derive(Clone, Debug)]
pub(super) struct FaultSpan<'a> {
    pub(super) span: Span,
    pub(super) kind: &'a str,
    /// Gatekeepers whose clients may miss an answer.
    pub(super) affected: &'a [String],
    pub(super) delays_attempts: bool,
}

/// All faults of a history. One that never ends lasts for ever.
pub(super) fn fault_spans(history: &[Record]) -> Vec<FaultSpan<'_>> {
    let mut open = HashMap::new();
    let mut all = Vec::new();
    for record in history {
        let Observation::Fault { index, kind, begins, affected, delays_attempts } = &record.observation
        else {
            continue;
        };
        if *begins {
            let span = Span { from_us: record.at_us, to_us: u64::MAX };
            open.insert(*index, FaultSpan { span, kind, affected, delays_attempts: *delays_attempts });
        } else if let Some(mut fault) = open.remove(index) {
            fault.span.to_us = record.at_us;
            all.push(fault);
        }
    }
    all.extend(open.into_values());
    all
}

/// When each gatekeeper's clients may miss an answer.
pub(super) struct AffectedSpans<'a>(HashMap<&'a str, Vec<Span>>);

impl<'a> AffectedSpans<'a> {
    pub(super) fn of(history: &'a [Record]) -> Self {
        let mut spans: HashMap<&str, Vec<Span>> = HashMap::new();
        for fault in fault_spans(history) {
            fault.affected.iter().for_each(|name| spans.entry(name).or_default().push(fault.span));
        }
        Self(spans)
    }

    pub(super) fn of_gatekeeper(&self, name: &str) -> &[Span] {
        self.0.get(name).map_or(&[], Vec::as_slice)
    }

    /// Whether a fault affected the gatekeeper at some time of this span.
    pub(super) fn overlap(&self, gatekeeper: &str, span: Span) -> bool {
        self.of_gatekeeper(gatekeeper)
            .iter()
            .any(|fault| fault.from_us <= span.to_us && fault.to_us >= span.from_us)
    }
}

/// When attempts may arrive late at backends.
pub(super) fn delayed_attempts(history: &[Record]) -> Vec<Span> {
    fault_spans(history).into_iter().filter(|fault| fault.delays_attempts).map(|fault| fault.span).collect()
}
