//! Rules on further attempts: whether a retry or a hedged request keeps the promise that nothing takes effect
//! twice, and until when it has to start. They depend on the settings, the request and the backend alone.

use crate::event::BackendEntry;
use crate::request::{Attempt, Request};
use crate::settings::{DedupScope, Idempotency, RequestClass, Settings};
use crate::time::{Micros, Timestamp};

/// Part of the time in which backends drop duplicates that is left for the journey of a retry.
const DEDUP_MARGIN: f64 = 0.15;
/// Minimum margin in microseconds. The process may be descheduled for 0.15 s between reading the clock and
/// writing.
const MIN_DEDUP_MARGIN: Micros = 160_000;

/// The rules by the settings in force, at one moment.
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

    /// A number for the backends that share idempotency keys with this one.
    pub(crate) fn dedup_group(self, class: usize, backend: &BackendEntry) -> u32 {
        let (zone, cell) = (u32::from(backend.zone), u32::from(backend.cell));
        match self.settings.classes[class].dedup_scope {
            DedupScope::All => 0,
            DedupScope::Zone => zone,
            DedupScope::Cell => zone << 16 | cell,
        }
    }

    /// Whether a first or a further attempt at this backend is allowed.
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
        let of_class = self.class_of(request).max_attempts;
        let limit = if of_class > 0 { of_class.min(limit) } else { limit };
        limit as usize
    }

    /// Whether backends that know the key still drop the duplicate, if the first attempt ran.
    fn may_repeat_key(self, request: &Request, backend: &BackendEntry, first: &Attempt) -> bool {
        // An attempt in flight may not have a connection yet. It would reach its backend after this one.
        let has_started = |a: &Attempt| !a.is_in_flight() || self.now >= a.connect_deadline;
        let in_time = self.now < self.start_deadline(request) && request.attempts.iter().all(has_started);
        in_time && self.dedup_group(request.class, backend) == first.dedup_group
    }

    /// The moment by which a further attempt has to start. Backends drop duplicates of a key for a while,
    /// counted from the first attempt that may have run.
    pub(crate) fn start_deadline(self, request: &Request) -> Timestamp {
        let class = self.class_of(request);
        let first = request.first_possible_run().filter(|_| class.idempotency == Idempotency::Keyed);
        let Some(first) = first else { return Timestamp::MAX };
        let margin = ((class.idempotency_key_ttl as f64 * DEDUP_MARGIN) as Micros).max(MIN_DEDUP_MARGIN);
        first.sent_at.saturating_add(class.idempotency_key_ttl.saturating_sub(margin))
    }

    /// Whether a rejection, which tells the client that a retry is harmless, would be true.
    pub(crate) fn may_reject(self, request: &Request) -> bool {
        let class = self.class_of(request);
        let drops_all = class.idempotency == Idempotency::Keyed && class.dedup_scope == DedupScope::All;
        class.idempotency == Idempotency::Idempotent || drops_all || request.first_possible_run().is_none()
    }
}

#[cfg(test)]
mod tests;
