//! The session with the lease store, the availability of the store, and the limit on calls while it is unavailable.

use crate::{Action, CallId, ClockReading, Notice};
use job_lease::{Session, StoreError};
use std::time::Duration;
use timestamps::MonotonicTime;

/// The number of consecutive failed calls after which the store counts as unavailable.
const FAILURES_UNTIL_UNAVAILABLE: u32 = 2;

/// The state of the connection to the lease store.
#[derive(Debug, Default)]
pub(super) struct StoreConnection {
    session: Option<Session>,
    /// Whether a call that opens a session is pending.
    is_opening: bool,
    /// Whether a call that renews the session is pending.
    is_renewing: bool,
    /// Start of the current renewal interval. The session is renewed when the interval has passed.
    renewed_at: MonotonicTime,
    /// The id of the last read or write.
    last_call: CallId,
    /// The first call id that was assigned after the last reset of the session. The results of calls with lower ids may be
    /// outdated.
    first_valid_call: CallId,
    consecutive_failures: u32,
    is_unavailable: bool,
    /// The time of the last trial (a call that checks whether the unavailable store has recovered) or of the last call to open
    /// a session.
    last_trial_at: MonotonicTime,
    /// The store's highest index since the last reset. 0 if unknown.
    store_index: u64,
}

impl StoreConnection {
    pub(super) fn session(&self) -> Option<&Session> {
        self.session.as_ref()
    }

    pub(super) fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    pub(super) fn next_call(&mut self) -> CallId {
        self.last_call.0 += 1;
        self.last_call
    }

    /// Returns whether a call was requested after the last reset. The result of an earlier call may be outdated.
    pub(super) fn is_valid_call(&self, call: CallId) -> bool {
        call >= self.first_valid_call
    }

    /// Returns whether to open a session now, and if so, records the call as pending. A session is opened if no other call to
    /// open one is pending, and the store is available or a trial is due.
    pub(super) fn start_opening(&mut self, now: ClockReading, retry_interval: Duration) -> bool {
        let may_call = !self.is_unavailable || self.is_trial_due(now, retry_interval);
        if self.is_opening || !may_call {
            return false;
        }
        self.is_opening = true;
        self.last_trial_at = now.monotonic;
        true
    }

    /// Returns whether the store may be called now, and records the call if it is a trial. While the store is unavailable,
    /// one trial is allowed per retry interval.
    pub(super) fn may_call(&mut self, now: ClockReading, retry_interval: Duration) -> bool {
        if !self.is_unavailable {
            return true;
        }
        if !self.is_trial_due(now, retry_interval) {
            return false;
        }
        self.last_trial_at = now.monotonic;
        true
    }

    fn is_trial_due(&self, now: ClockReading, retry_interval: Duration) -> bool {
        now.monotonic >= self.last_trial_at + retry_interval
    }

    /// Sets the session that was opened.
    pub(super) fn set_session(&mut self, now: ClockReading, session: Session) {
        self.session = Some(session);
        self.is_renewing = false;
        self.renewed_at = now.monotonic;
    }

    /// Records that the call to open a session has ended, whether or not it succeeded.
    pub(super) fn finish_opening(&mut self) {
        self.is_opening = false;
    }

    /// Returns the session if it is due for renewal, and then records that its renewal is pending.
    pub(super) fn start_renewal(&mut self, now: ClockReading, interval: Duration) -> Option<Session> {
        let session = self.session.as_ref()?;
        if self.is_renewing || now.monotonic < self.renewed_at + interval {
            return None;
        }
        self.is_renewing = true;
        Some(session.clone())
    }

    /// Records that the call to renew the session has ended. The next renewal is due one interval after `renewed_at`.
    pub(super) fn finish_renewal(&mut self, renewed_at: MonotonicTime) {
        self.is_renewing = false;
        self.renewed_at = renewed_at;
    }

    /// Records that the call to renew the session has ended because the session no longer exists.
    pub(super) fn cancel_renewal(&mut self) {
        self.is_renewing = false;
    }

    /// Returns whether the store's index has decreased. If it has not, records the new index. An index of 0 means that the
    /// index is unknown, and has no effect.
    pub(super) fn index_decreased(&mut self, store_index: u64) -> bool {
        if store_index > 0 && store_index < self.store_index {
            return true;
        }
        self.store_index = self.store_index.max(store_index);
        false
    }

    /// Discards the session and the index, and treats the results of earlier reads as outdated. Returns whether there was a
    /// session.
    pub(super) fn reset(&mut self) -> bool {
        self.first_valid_call = CallId(self.last_call.0 + 1);
        self.store_index = 0;
        self.session.take().is_some()
    }

    /// Records a call with a conclusive response. Notifies operators if the store was unavailable.
    pub(super) fn record_success(&mut self, actions: &mut Vec<Action>) {
        self.consecutive_failures = 0;
        if std::mem::take(&mut self.is_unavailable) {
            actions.push(Action::Notify(Notice::StoreAvailable));
        }
    }

    /// Records a failed call. Notifies operators if the store becomes unavailable.
    pub(super) fn record_failure(&mut self, error: &StoreError, actions: &mut Vec<Action>) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_UNTIL_UNAVAILABLE && !self.is_unavailable {
            self.is_unavailable = true;
            let reason = error.cause().to_string();
            actions.push(Action::Notify(Notice::StoreUnavailable { reason }));
        }
    }
}
