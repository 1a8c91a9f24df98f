//! Rate-limited logging: at most one event of each kind per second, with the number of suppressed events.

use periodic_jobs::Notice;
use std::collections::HashMap;
use std::mem::Discriminant;
use std::time::Duration;
use timestamps::MonotonicTime;

/// The minimum time between two logged events of one kind.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A kind of log event, whose rate is limited separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LogKind {
    AuthenticationFailed,
    Rejoined,
    RunFailed,
    RunQueueFull,
    /// A notice of the scheduler. Each variant of [`Notice`] is a kind of its own.
    Notice(Discriminant<Notice>),
}

#[derive(Debug, Default)]
struct KindState {
    /// The earliest moment at which another event of the kind is logged.
    next_permit_at: MonotonicTime,
    suppressed: u64,
}

/// The permission to log one event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogPermit {
    /// The number of events of the kind that were suppressed since the last logged event. `None` if no event was suppressed.
    pub(crate) suppressed: Option<u64>,
}

/// Limits the rate of logged events per kind.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    kinds: HashMap<LogKind, KindState>,
}

impl LogLimiter {
    /// Returns the permission to log an event of the given kind at `now`. If the rate limit forbids that, returns `None` and
    /// counts the event as suppressed.
    pub(crate) fn permit(&mut self, kind: LogKind, now: MonotonicTime) -> Option<LogPermit> {
        let state = self.kinds.entry(kind).or_default();
        if now < state.next_permit_at {
            state.suppressed += 1;
            return None;
        }
        state.next_permit_at = now + MIN_LOG_INTERVAL;
        let suppressed = std::mem::take(&mut state.suppressed);
        Some(LogPermit { suppressed: (suppressed > 0).then_some(suppressed) })
    }
}

#[cfg(test)]
mod tests;
