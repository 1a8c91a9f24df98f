//! Bulk failure dissemination: all members learn of many simultaneous failures within seconds.
//!
//! SWIM probes one member after the other and piggybacks each failure as a separate update. Both steps are too slow when
//! half of a large cluster fails: some dead members are not probed for many periods, and hundreds of updates compete for
//! the space in each message. While many members are suspected or have just failed, this instance therefore probes
//! [`PROBE_SPEEDUP`] times as fast, and sends a digest of its known failures to one random member per gossip period. A
//! receiver whose digest differs replies with the failures that it knows, eight bytes each. The failures spread epidemically
//! and do not compete with other gossip.
//!
//! In normal operation none of these messages is sent.

mod failure_log;
mod message;

pub(crate) use message::{MAX_FAILURES_PER_MESSAGE, MemberFingerprint, Message};

use crate::Member;
use failure_log::FailureLog;
use foca::Timer;
use std::time::Duration;
use timestamps::MonotonicTime;

/// The divisor of probe periods and probe timeouts while dissemination is active.
pub(crate) const PROBE_SPEEDUP: u32 = 4;
/// The minimum delay of a probe timer that [`PROBE_SPEEDUP`] shortens.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(1);
/// The minimum number of suspected and failed members at which dissemination becomes active. For fewer members, gossip alone
/// is fast enough.
const MIN_FAILURES: usize = 3;
/// Dissemination becomes active when there is one suspected or failed member for each group of this many live members. This
/// share is two to three times the share of members that become suspected at a datagram loss of 10%. With a value of 8, all
/// members learned only after 13 s, instead of 7 s, that half of 1,000 had failed.
const ALIVE_PER_FAILURE: usize = 16;
/// The maximum time for which dissemination stays active without a break, in activity windows. A bulk failure needs less.
/// Where datagrams are lost, faster probes cause further suspicions, which must not keep dissemination active forever.
const MAX_ACTIVE_WINDOWS: u32 = 5;
/// The time for which a failure is retained, in activity windows. This exceeds [`MAX_ACTIVE_WINDOWS`], so that digests do not
/// differ merely because one member has already removed a failure.
const FAILURE_RETENTION_WINDOWS: u32 = 10;
/// The maximum number of messages in a reply to a digest.
const MAX_MESSAGES_PER_REPLY: usize = 4;
/// The maximum number of replies per gossip period, in which several members may send their digests to this one.
const MAX_REPLIES_PER_PERIOD: u32 = 4;

/// The failures known to this instance, and the state of their dissemination.
///
/// `now` is a reading of the driver's monotonic clock.
#[derive(Debug)]
pub(crate) struct BulkFailureDissemination {
    gossip_period: Duration,
    /// The time for which dissemination stays active after the last evidence of a bulk failure.
    activity_window: Duration,
    failures: FailureLog,
    /// The moment at which dissemination last became active. The field remains set when [`MAX_ACTIVE_WINDOWS`] have passed, and
    /// is cleared once the failures are too few to activate dissemination.
    active_since: Option<MonotonicTime>,
    active_until: MonotonicTime,
    next_poll: MonotonicTime,
    replies_in_period: u32,
}

impl BulkFailureDissemination {
    /// Creates the state without failures, with dissemination inactive.
    pub(crate) fn new(gossip_period: Duration, suspicion_timeout: Duration) -> Self {
        Self {
            gossip_period,
            activity_window: 2 * suspicion_timeout,
            failures: FailureLog::default(),
            active_since: None,
            active_until: MonotonicTime::ZERO,
            next_poll: MonotonicTime::ZERO,
            replies_in_period: 0,
        }
    }

    /// Returns whether bulk failure dissemination is active.
    pub(crate) fn is_active(&self, now: MonotonicTime) -> bool {
        now < self.active_until
    }

    /// Returns the time at which the caller must call [`BulkFailureDissemination::poll`] next.
    pub(crate) fn next_poll(&self) -> MonotonicTime {
        self.next_poll
    }

    /// Records that a member has failed.
    pub(crate) fn record_failure(&mut self, now: MonotonicTime, fingerprint: MemberFingerprint) {
        self.failures.add_failure(now, fingerprint);
    }

    /// Activates dissemination if enough of the members are suspected or have failed. While dissemination is active, returns
    /// the digest to send to a random member, at most once per gossip period.
    pub(crate) fn poll(
        &mut self,
        now: MonotonicTime,
        suspect_count: usize,
        alive_count: usize,
    ) -> Option<u64> {
        if now < self.next_poll {
            return None;
        }
        self.next_poll = now + self.gossip_period;
        self.replies_in_period = 0;
        self.failures.remove_older_than(FAILURE_RETENTION_WINDOWS * self.activity_window, now);
        let failure_count = suspect_count + self.failures.count_within(self.activity_window, now);
        if failure_count >= MIN_FAILURES.max(alive_count / ALIVE_PER_FAILURE) {
            self.extend_activity(now);
        } else if !self.is_active(now) {
            self.active_since = None;
        }
        self.is_active(now).then_some(self.failures.digest())
    }

    /// Handles another member's digest. Returns the messages of the reply, starting with the failure at `offset`. A random
    /// offset makes successive replies cover all failures when one reply cannot hold them.
    pub(crate) fn reply_to_digest(&mut self, now: MonotonicTime, digest: u64, offset: usize) -> Vec<Message> {
        // The sender of the digest has evidence of a bulk failure that this instance may not have yet.
        self.extend_activity(now);
        let at_reply_limit = self.replies_in_period >= MAX_REPLIES_PER_PERIOD;
        if digest == self.failures.digest() || self.failures.is_empty() || at_reply_limit {
            return Vec::new();
        }
        self.replies_in_period += 1;
        let fingerprints: Vec<[u8; 8]> =
            self.failures.rotated(offset).map(MemberFingerprint::to_bytes).collect();
        fingerprints
            .chunks(MAX_FAILURES_PER_MESSAGE)
            .take(MAX_MESSAGES_PER_REPLY)
            .map(|chunk| Message::FailedMembers(chunk.to_vec()))
            .collect()
    }

    /// Keeps dissemination active for one activity window from now, but not beyond [`MAX_ACTIVE_WINDOWS`].
    fn extend_activity(&mut self, now: MonotonicTime) {
        let active_since = *self.active_since.get_or_insert(now);
        let limit = active_since + MAX_ACTIVE_WINDOWS * self.activity_window;
        self.active_until = (now + self.activity_window).min(limit);
    }

    /// Returns the delay of a SWIM timer: the requested delay, or a shorter one for probes while dissemination is active.
    pub(crate) fn timer_delay(&self, now: MonotonicTime, delay: Duration, timer: &Timer<Member>) -> Duration {
        let is_probe = matches!(timer, Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. });
        if is_probe && self.is_active(now) { (delay / PROBE_SPEEDUP).max(MIN_PROBE_DELAY) } else { delay }
    }
}

#[cfg(test)]
mod tests;
