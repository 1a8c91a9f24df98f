//! The failures that this instance has learned of recently.

use super::MemberFingerprint;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use timestamps::MonotonicTime;

/// The maximum number of failures in the log.
const MAX_FAILURES: usize = 4_096;

/// Recent failures in the order in which they were learned, with a digest that depends only on the set of failures.
#[derive(Debug, Default)]
pub(super) struct FailureLog {
    /// The moment at which each failure was learned.
    learned_at: HashMap<MemberFingerprint, MonotonicTime>,
    /// The keys of `learned_at`, oldest first.
    by_age: VecDeque<MemberFingerprint>,
    /// The exclusive or of all fingerprints.
    digest: u64,
}

impl FailureLog {
    /// Adds a failure, unless it is in the log already or the log is full.
    pub(super) fn add_failure(&mut self, now: MonotonicTime, fingerprint: MemberFingerprint) {
        if self.by_age.len() < MAX_FAILURES && self.learned_at.insert(fingerprint, now).is_none() {
            self.by_age.push_back(fingerprint);
            self.digest ^= fingerprint.0;
        }
    }

    /// Removes the failures learned more than `max_age` ago.
    pub(super) fn remove_older_than(&mut self, max_age: Duration, now: MonotonicTime) {
        while let Some(oldest) = self.by_age.front()
            && self.learned_at[oldest] + max_age < now
        {
            self.digest ^= oldest.0;
            self.learned_at.remove(oldest);
            self.by_age.pop_front();
        }
    }

    /// Returns the number of failures learned within the last `max_age`.
    pub(super) fn count_within(&self, max_age: Duration, now: MonotonicTime) -> usize {
        let is_recent = |fingerprint: &&MemberFingerprint| self.learned_at[*fingerprint] + max_age >= now;
        self.by_age.iter().rev().take_while(is_recent).count()
    }

    /// Returns the digest of all failures in the log.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns whether the log is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    /// Returns all failures, starting at `offset` modulo their number.
    pub(super) fn rotated(&self, offset: usize) -> impl Iterator<Item = MemberFingerprint> {
        let count = self.by_age.len();
        self.by_age.iter().cycle().skip(offset % count.max(1)).take(count).copied()
    }
}

#[cfg(test)]
mod tests;
