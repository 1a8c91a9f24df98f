//! Rate-limited logging: one line of each kind a second, with the number of those suppressed in between.

use std::collections::HashMap;

/// Milliseconds between two lines of a kind.
const INTERVAL_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct KindState {
    next_ms: u64,
    suppressed: u64,
}

/// Decides which log lines may be written.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    kinds: HashMap<&'static str, KindState>,
}

impl LogLimiter {
    /// The suffix for a line of this kind that may be written now; `None` where it is suppressed.
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
