//! The spans in which faults were active, and the gatekeepers that they affected.

use crate::history::{Observation, Record, Span};
use std::collections::HashMap;

/// The span in which a fault was active.
#[derive(Clone, Debug)]
pub(super) struct FaultSpan<'a> {
    pub(super) span: Span,
    pub(super) kind: &'a str,
    /// Gatekeepers whose clients may miss answers during the fault.
    pub(super) affected: &'a [String],
    pub(super) delays_attempts: bool,
}

/// All faults of a history. A fault without a recorded end stays active until the end of the history.
pub(super) fn fault_spans(history: &[Record]) -> Vec<FaultSpan<'_>> {
    let mut active = HashMap::new();
    let mut all = Vec::new();
    for record in history {
        let Observation::Fault { index, kind, begins, affected, delays_attempts } = &record.observation
        else {
            continue;
        };
        if *begins {
            let span = Span { from_us: record.at_us, to_us: u64::MAX };
            active.insert(*index, FaultSpan { span, kind, affected, delays_attempts: *delays_attempts });
        } else if let Some(mut fault) = active.remove(index) {
            fault.span.to_us = record.at_us;
            all.push(fault);
        }
    }
    all.extend(active.into_values());
    all
}

/// The spans in which each gatekeeper's clients may miss answers.
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

    /// Whether a fault affected the gatekeeper at any time of this span, including its ends.
    pub(super) fn overlap(&self, gatekeeper: &str, span: Span) -> bool {
        self.of_gatekeeper(gatekeeper)
            .iter()
            .any(|fault| fault.from_us <= span.to_us && fault.to_us >= span.from_us)
    }
}

/// The spans in which attempts may arrive late at backends.
pub(super) fn delayed_attempts(history: &[Record]) -> Vec<Span> {
    fault_spans(history).into_iter().filter(|fault| fault.delays_attempts).map(|fault| fault.span).collect()
}
