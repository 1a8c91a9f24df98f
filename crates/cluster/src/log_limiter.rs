//! Rate-limited logging: one event of each kind a second, with the number of those suppressed in between.

use std::collections::HashMap;

/// Milliseconds between two logged events of a kind.
const INTERVAL_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct KindState {
    next_ms: u64,
    suppressed: u64,
}

/// Permits one event of a kind to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogPermit {
    /// Events of the kind that were not logged since the last one that was; none if there were none.
    pub(crate) suppressed: Option<u64>,
}

/// Decides which events may be logged.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    kinds: HashMap<&'static str, KindState>,
}

impl LogLimiter {
    /// Permits an event of this kind to be logged now, or returns `None` and counts it as suppressed.
    pub(crate) fn permit(&mut self, kind: &'static str, now_ms: u64) -> Option<LogPermit> {
        let state = self.kinds.entry(kind).or_default();
        if now_ms < state.next_ms {
            state.suppressed += 1;
            return None;
        }
        state.next_ms = now_ms + INTERVAL_MS;
        let suppressed = std::mem::take(&mut state.suppressed);
        Some(LogPermit { suppressed: (suppressed > 0).then_some(suppressed) })
    }
}

#[cfg(test)]
mod tests;
