//! Rules on further attempts: whether a retry or a hedged request is safe, so that no request takes effect
//! twice, and by when the attempt has to start. The rules depend only on the settings, the request and the
//! backend.

use crate::event::BackendEntry;
use crate::request::{Attempt, Request};
use crate::settings::{DedupScope, Idempotency, RequestClass, Settings};
use crate::time::{Micros, Timestamp};

/// Fraction of the lifetime of an idempotency key that is reserved for the time a retry takes to reach its
/// backend.
const DEDUP_MARGIN_FRACTION: f64 = 0.15;
/// Minimum microseconds of an idempotency key's lifetime that are reserved for the time a retry takes to
/// reach its backend. The process may be descheduled for 0.15 s between reading the clock and writing the
/// attempt.
const MIN_DEDUP_MARGIN: Micros = 160_000;

/// The rules on further attempts under the present settings, evaluated at the time `now`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptRules<'a> {
    settings: &'a Settings,
    now: Timestamp,
}

impl<'a> AttemptRules<'a> {
    pub(crate) fn new(settings: &'a Settings, now: Timestamp) -> Self {
        Self { settings, now }
    }

    fn class_of(self, request: &Request) -> &'a RequestClass {
        &self.settings.classes[request.class]
    }

    /// Number of the group of backends that share idempotency keys with `backend`.
    pub(crate) fn dedup_group(self, class: usize, backend: &BackendEntry) -> u32 {
        let (zone, cell) = (u32::from(backend.zone), u32::from(backend.cell));
        match self.settings.classes[class].dedup_scope {
            DedupScope::All => 0,
            DedupScope::Zone => zone,
            DedupScope::Cell => zone << 16 | cell,
        }
    }

    /// Whether an attempt of the request, the first or a further one, may be sent to this backend.
    pub(crate) fn may_attempt(self, request: &Request, backend: &BackendEntry) -> bool {
        let is_over = request.answered || request.streaming || self.now >= request.deadline;
        let is_second_in_flight = request.has_attempt_in_flight() && !self.settings.hedging;
        let is_exhausted = request.attempts.len() >= self.max_attempts(request);
        if is_over || is_second_in_flight || is_exhausted {
            return false;
        }
        let Some(first) = request.first_possible_run() else { return true };
        match self.class_of(request).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed => self.may_repeat_key(request, backend, first),
        }
    }

    fn max_attempts(self, request: &Request) -> usize {
        let limit = self.settings.max_attempts;
        let class_limit = self.class_of(request).max_attempts;
        let limit = if class_limit > 0 { class_limit.min(limit) } else { limit };
        limit as usize
    }

    /// Whether this backend is certain to drop a repeated key as a duplicate, if the first attempt was
    /// executed.
    fn may_repeat_key(self, request: &Request, backend: &BackendEntry, first: &Attempt) -> bool {
        // An attempt in flight that is still connecting could reach its backend after the new attempt.
        let has_started = |a: &Attempt| !a.is_in_flight() || self.now >= a.connect_deadline;
        let is_in_time = self.now < self.start_deadline(request) && request.attempts.iter().all(has_started);
        is_in_time && self.dedup_group(request.class, backend) == first.dedup_group
    }

    /// The time by which a further attempt has to start; [`Timestamp::MAX`] if there is no limit. Backends
    /// drop duplicates of a key only for its lifetime, which is counted from the first attempt that may have
    /// run.
    pub(crate) fn start_deadline(self, request: &Request) -> Timestamp {
        let class = self.class_of(request);
        let first = request.first_possible_run().filter(|_| class.idempotency == Idempotency::Keyed);
        let Some(first) = first else { return Timestamp::MAX };
        let margin =
            ((class.idempotency_key_ttl as f64 * DEDUP_MARGIN_FRACTION) as Micros).max(MIN_DEDUP_MARGIN);
        first.sent_at.saturating_add(class.idempotency_key_ttl.saturating_sub(margin))
    }

    /// Whether the request may be rejected. A rejection tells the client that it can safely retry.
    pub(crate) fn may_reject(self, request: &Request) -> bool {
        let class = self.class_of(request);
        let is_dropped_everywhere =
            class.idempotency == Idempotency::Keyed && class.dedup_scope == DedupScope::All;
        class.idempotency == Idempotency::Idempotent
            || is_dropped_everywhere
            || request.first_possible_run().is_none()
    }
}

#[cfg(test)]
mod tests;
