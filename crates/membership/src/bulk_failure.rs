//! Bulk failure dissemination: all members learn of many simultaneous failures within seconds.
//!
//! SWIM probes one member after the other and piggybacks each failure as a separate update. Both steps are too slow when
//! half of a large cluster fails: some dead members are not probed for many periods, and hundreds of updates compete for
//! the space in each message. While many members are suspected or have just failed, this instance therefore probes
//! [`PROBE_SPEEDUP`] times as fast, and sends a digest of its known failures to one random member per gossip period. A
//! receiver whose digest differs replies with the failures it knows, eight bytes each. The failures spread epidemically,
//! independent of other gossip traffic.
//!
//! In normal operation none of this is sent.

mod failure_log;
mod message;

pub(crate) use message::{MAX_FAILURES_PER_MESSAGE, MemberFingerprint, Message};

use crate::Member;
use failure_log::FailureLog;
use foca::Timer;
use std::time::Duration;
use timestamps::MonotonicTime;

/// The factor by which probes and their timeouts are faster while dissemination is active.
pub(crate) const PROBE_SPEEDUP: u32 = 4;
/// The minimum delay of a timer of a probe.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(1);
/// The minimum number of suspected and failed members that activates dissemination. Gossip alone is fast enough for fewer.
const MIN_FAILURES: usize = 3;
/// One suspected or failed member per this many live members activates dissemination: two to three times the share that a
/// datagram loss of 10% brings under suspicion. With one in eight, members knew that half of 1,000 were dead after 13 s
/// instead of 7 s.
const ALIVE_PER_FAILURE: usize = 16;
/// The maximum number of activity windows without a break, more than a bulk failure needs. Fast probes cause further
/// suspicions where datagrams are lost, and these must not keep dissemination active forever.
const MAX_ACTIVE_WINDOWS: u32 = 5;
/// The retention of a failure in activity windows. It exceeds [`MAX_ACTIVE_WINDOWS`], so digests do not differ because one
/// member has already removed a failure.
const FAILURE_RETENTION_WINDOWS: u32 = 10;
/// The maximum number of messages in a reply to a digest.
const MAX_MESSAGES_PER_REPLY: usize = 4;
/// The maximum number of replies per gossip period. Several members may send their digest to this one.
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
    /// The moment at which dissemination last became active. It stays set after [`MAX_ACTIVE_WINDOWS`], until there are few
    /// failures again.
    active_since: Option<MonotonicTime>,
    active_until: MonotonicTime,
    next_poll: MonotonicTime,
    replies_in_period: u32,
}

impl BulkFailureDissemination {
    /// Creates an inactive instance for gossip with these periods.
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

    /// Returns whether dissemination is active.
    pub(crate) fn is_active(&self, now: MonotonicTime) -> bool {
        now < self.active_until
    }

    /// Returns the moment at which [`BulkFailureDissemination::poll`] must be called next.
    pub(crate) fn next_poll(&self) -> MonotonicTime {
        self.next_poll
    }

    /// Records that a member has failed.
    pub(crate) fn record_failure(&mut self, now: MonotonicTime, fingerprint: MemberFingerprint) {
        self.failures.add(now, fingerprint);
    }

    /// Activates dissemination if there are many failures, at most once per gossip period. While it is active, returns the
    /// digest to send to a random member.
    pub(crate) fn poll(&mut self, now: MonotonicTime, suspects: usize, alive: usize) -> Option<u64> {
        if now < self.next_poll {
            return None;
        }
        self.next_poll = now + self.gossip_period;
        self.replies_in_period = 0;
        self.failures.remove_older_than(FAILURE_RETENTION_WINDOWS * self.activity_window, now);
        let failures = suspects + self.failures.count_within(self.activity_window, now);
        if failures >= MIN_FAILURES.max(alive / ALIVE_PER_FAILURE) {
            self.extend_activity(now);
        } else if !self.is_active(now) {
            self.active_since = None;
        }
        self.is_active(now).then_some(self.failures.digest())
    }

    /// Handles another member's digest. Returns the messages of the reply, starting with the failure at `offset`. A random
    /// offset makes successive replies cover all failures when one reply cannot hold them.
    pub(crate) fn reply_to_digest(&mut self, now: MonotonicTime, digest: u64, offset: usize) -> Vec<Message> {
        // The sender has evidence of a bulk failure that this instance may not have yet.
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

    /// Keeps dissemination active for another activity window, up to the limit.
    fn extend_activity(&mut self, now: MonotonicTime) {
        let active_since = *self.active_since.get_or_insert(now);
        let limit = active_since + MAX_ACTIVE_WINDOWS * self.activity_window;
        self.active_until = (now + self.activity_window).min(limit);
    }

    /// Returns the delay of a SWIM timer, shorter than the requested one for probes while dissemination is active.
    pub(crate) fn timer_delay(&self, now: MonotonicTime, delay: Duration, timer: &Timer<Member>) -> Duration {
        let is_probe = matches!(timer, Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. });
        if is_probe && self.is_active(now) { (delay / PROBE_SPEEDUP).max(MIN_PROBE_DELAY) } else { delay }
    }
}

#[cfg(test)]
mod tests;
