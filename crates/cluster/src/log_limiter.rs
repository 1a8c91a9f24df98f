//! Rate-limited logging: at most one line of each kind per second, with the number of suppressed lines.

use std::collections::HashMap;

/// The minimum time between two lines of a kind in milliseconds.
const INTERVAL_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct KindState {
    /// The moment from which the next line may be written.
    next_ms: u64,
    suppressed: u64,
}

/// Decides which log lines are written.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    kinds: HashMap<&'static str, KindState>,
}

impl LogLimiter {
    /// Returns the suffix for a line of this kind. Returns `None` if the line is suppressed.
    pub(crate) fn suffix(&mut self, kind: &'static str, now_ms: u64) -> Option<String> {
        let state = self.kinds.entry(kind).or_default();
        if now_ms < state.next_ms {
            state.suppressed += 1;
            return None;
        }
        state.next_ms = now_ms + INTERVAL_MS;
        let suppressed = std::mem::take(&mut state.suppressed);
        Some(if suppressed > 0 { format!(" (and {suppressed} more like it)") } else { String::new() })
    }
}

#[cfg(test)]
mod tests;
