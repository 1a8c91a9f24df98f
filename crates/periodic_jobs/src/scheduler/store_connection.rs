//! The session with the lease store, and the availability of the store.

use crate::{Action, CallId, ClockReading, Notice};
use job_lease::{Session, StoreError};
use std::time::Duration;
use timestamps::MonotonicTime;

/// The number of consecutive failed calls after which the store is unavailable.
const FAILURES_UNTIL_UNAVAILABLE: u32 = 2;

/// The session with the store and its availability.
#[derive(Debug, Default)]
pub(super) struct StoreConnection {
    session: Option<Session>,
    opening: bool,
    renewing: bool,
    /// The moment of the last renewal.
    renewed_at: MonotonicTime,
    last_call: CallId,
    /// Calls before this one were made before the last reset, and their results may be outdated.
    first_valid_call: CallId,
    consecutive_failures: u32,
    unavailable: bool,
    /// The moment of the last call made while the store was unavailable.
    last_trial_at: MonotonicTime,
    /// The highest index seen since the last reset.
    store_index: u64,
}

impl StoreConnection {
    pub(super) fn session(&self) -> Option<&Session> {
        self.session.as_ref()
    }

    pub(super) fn is_unavailable(&self) -> bool {
        self.unavailable
    }

    pub(super) fn next_call(&mut self) -> CallId {
        self.last_call.0 += 1;
        self.last_call
    }

    /// Returns whether a call was made after the last reset.
    pub(super) fn is_valid_call(&self, call: CallId) -> bool {
        call >= self.first_valid_call
    }

    /// Returns whether to open a session now: none is being opened, and the store is available or due for a trial. Records
    /// the call.
    pub(super) fn start_opening(&mut self, now: ClockReading, retry_interval: Duration) -> bool {
        let may_call = !self.unavailable || self.trial_is_due(now, retry_interval);
        if self.opening || !may_call {
            return false;
        }
        self.opening = true;
        self.last_trial_at = now.monotonic;
        true
    }

    /// Returns whether a call may be made now, and records it. While the store is unavailable, one trial is allowed per retry
    /// interval.
    pub(super) fn may_call(&mut self, now: ClockReading, retry_interval: Duration) -> bool {
        if !self.unavailable {
            return true;
        }
        if !self.trial_is_due(now, retry_interval) {
            return false;
        }
        self.last_trial_at = now.monotonic;
        true
    }

    fn trial_is_due(&self, now: ClockReading, retry_interval: Duration) -> bool {
        now.monotonic >= self.last_trial_at + retry_interval
    }

    /// Stores an opened session.
    pub(super) fn opened(&mut self, now: ClockReading, session: Session) {
        self.session = Some(session);
        self.renewing = false;
        self.renewed_at = now.monotonic;
    }

    /// Records the end of a call that opens a session.
    pub(super) fn finish_opening(&mut self) {
        self.opening = false;
    }

    /// Returns the session if it is due for renewal, and records the call.
    pub(super) fn start_renewal(&mut self, now: ClockReading, interval: Duration) -> Option<Session> {
        let session = self.session.as_ref()?;
        if self.renewing || now.monotonic < self.renewed_at + interval {
            return None;
        }
        self.renewing = true;
        Some(session.clone())
    }

    /// Records the end of a renewal. The next one is due one interval after `renewed_at`.
    pub(super) fn finish_renewal(&mut self, renewed_at: MonotonicTime) {
        self.renewing = false;
        self.renewed_at = renewed_at;
    }

    /// Records the end of a renewal whose session no longer exists.
    pub(super) fn cancel_renewal(&mut self) {
        self.renewing = false;
    }

    /// Records the store's index, 0 if unknown. Returns whether it has decreased.
    pub(super) fn index_decreased(&mut self, store_index: u64) -> bool {
        if store_index > 0 && store_index < self.store_index {
            return true;
        }
        self.store_index = self.store_index.max(store_index);
        false
    }

    /// Discards the session and the index. Returns whether there was a session.
    pub(super) fn reset(&mut self) -> bool {
        self.first_valid_call = CallId(self.last_call.0 + 1);
        self.store_index = 0;
        self.session.take().is_some()
    }

    /// Records a successful call.
    pub(super) fn record_success(&mut self, out: &mut Vec<Action>) {
        self.consecutive_failures = 0;
        if std::mem::take(&mut self.unavailable) {
            out.push(Action::Notify(Notice::StoreAvailable));
        }
    }

    /// Records a failed call.
    pub(super) fn record_failure(&mut self, error: &StoreError, out: &mut Vec<Action>) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_UNTIL_UNAVAILABLE && !self.unavailable {
            self.unavailable = true;
            let reason = error.cause().to_string();
            out.push(Action::Notify(Notice::StoreUnavailable { reason }));
        }
    }
}
