//! The session with the store, and whether the store responds.

use crate::{Action, CallId, ClockReading, Notice};
use job_lease::{Session, StoreError};

/// Failed calls in a row after which the store counts as unavailable.
const FAILURES_UNTIL_UNAVAILABLE: u32 = 2;

/// The connection to the store. Times are monotonic milliseconds.
#[derive(Debug, Default)]
pub(super) struct StoreConnection {
    session: Option<Session>,
    opening: bool,
    renewing: bool,
    renewed_ms: u64,
    last_call: CallId,
    /// Reads before this one were made before the last reset: what they found may not hold any more.
    first_valid_call: CallId,
    failures_in_row: u32,
    unavailable: bool,
    last_trial_ms: u64,
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

    /// Whether a read was made after the last reset.
    pub(super) fn is_valid_call(&self, call: CallId) -> bool {
        call >= self.first_valid_call
    }

    /// Whether a session is to be opened now: there is none, none is being opened, and the store is available or due for a
    /// trial.
    pub(super) fn begin_opening(&mut self, now: ClockReading, retry_ms: u64) -> bool {
        let due = !self.unavailable || now.monotonic_ms >= self.last_trial_ms + retry_ms;
        if self.opening || !due {
            return false;
        }
        self.opening = true;
        self.last_trial_ms = now.monotonic_ms;
        true
    }

    /// Whether a call may be made now. While the store is unavailable this is one trial in each retry period.
    pub(super) fn may_call(&mut self, now: ClockReading, retry_ms: u64) -> bool {
        if !self.unavailable {
            return true;
        }
        if now.monotonic_ms < self.last_trial_ms + retry_ms {
            return false;
        }
        self.last_trial_ms = now.monotonic_ms;
        true
    }

    /// A session was opened.
    pub(super) fn opened(&mut self, now: ClockReading, session: Session) {
        self.session = Some(session);
        self.renewing = false;
        self.renewed_ms = now.monotonic_ms;
    }

    /// The attempt to open a session has ended.
    pub(super) fn end_opening(&mut self) {
        self.opening = false;
    }

    /// The session, if it is to be renewed now.
    pub(super) fn begin_renewal(&mut self, now: ClockReading, renewal_ms: u64) -> Option<Session> {
        let session = self.session.as_ref()?;
        if self.renewing || now.monotonic_ms < self.renewed_ms + renewal_ms {
            return None;
        }
        self.renewing = true;
        Some(session.clone())
    }

    /// The attempt to renew the session has ended; it counts as renewed at this time.
    pub(super) fn end_renewal(&mut self, renewed_ms: u64) {
        self.renewing = false;
        self.renewed_ms = renewed_ms;
    }

    /// The session that was to be renewed has ended.
    pub(super) fn abandon_renewal(&mut self) {
        self.renewing = false;
    }

    /// Takes in the store's index, 0 where it is not known; returns whether it has decreased.
    pub(super) fn index_decreased(&mut self, store_index: u64) -> bool {
        if store_index > 0 && store_index < self.store_index {
            return true;
        }
        self.store_index = self.store_index.max(store_index);
        false
    }

    /// Forgets the session and the index; returns whether there was a session.
    pub(super) fn reset(&mut self) -> bool {
        self.first_valid_call = CallId(self.last_call.0 + 1);
        self.store_index = 0;
        self.session.take().is_some()
    }

    /// A call succeeded.
    pub(super) fn record_success(&mut self, out: &mut Vec<Action>) {
        self.failures_in_row = 0;
        if std::mem::take(&mut self.unavailable) {
            out.push(Action::Notify(Notice::StoreAvailable));
        }
    }

    /// A call failed.
    pub(super) fn record_failure(&mut self, error: &StoreError, out: &mut Vec<Action>) {
        self.failures_in_row += 1;
        if self.failures_in_row >= FAILURES_UNTIL_UNAVAILABLE && !self.unavailable {
            self.unavailable = true;
            let reason = error.cause().to_string();
            out.push(Action::Notify(Notice::StoreUnavailable { reason }));
        }
    }
}
