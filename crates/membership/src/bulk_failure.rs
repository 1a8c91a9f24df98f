//! Bulk failure dissemination: many failures at once, known to all members in seconds.
//!
//! SWIM probes one member after the other and disseminates each failure as an update of its own, piggybacked on other
//! messages. That is too slow twice when half of a large cluster fails: some dead members are probed by nobody for many
//! periods, and each of hundreds of updates has to be drawn for each of hundreds of receivers. So while many members are
//! suspected or have just failed, probes follow each other [`PROBE_SPEEDUP`] times as fast, and once in a gossip period a
//! random member is sent the digest of the failures known here. Where its own digest differs it replies with the failures
//! it knows, eight bytes each, so that knowledge spreads like a rumour whatever else the gossip has to carry.
//!
//! In normal operation none of this is sent.

mod message;

pub(crate) use message::{MAX_FAILURES_PER_MESSAGE, MemberFingerprint, Message};

use crate::Member;
use foca::Timer;
use std::collections::{HashMap, VecDeque};

/// While dissemination is active, probes and the timers that wait for their answers are this many times as fast.
pub(crate) const PROBE_SPEEDUP: u64 = 4;
/// Fewer suspected and failed members than this are not many: the gossip of a small cluster disseminates them by itself.
const MIN_FAILURES: usize = 3;
/// One suspected or failed member in this many live ones are many: two to three times what a datagram loss of 10% brings
/// under suspicion. With one in eight, half of 1,000 members were known to be dead after 13 s instead of 7 s.
const ALIVE_PER_FAILURE: usize = 16;
/// Dissemination stays active for at most this many activity windows, then rests until there are fewer failures: more
/// than a bulk failure needs. Faster probes bring more members under suspicion where datagrams are lost, which must not
/// keep it active.
const MAX_ACTIVE_WINDOWS: u64 = 5;
/// Activity windows for which a failure is remembered: longer than dissemination stays active, so that digests differ by
/// what one member does not know yet, not by what another has forgotten.
const REMEMBERED_WINDOWS: u64 = 10;
/// The limit of messages in a reply to a digest.
const MAX_MESSAGES_PER_REPLY: usize = 4;
/// The limit of replies in a gossip period, when more than one member has drawn this one as its receiver.
const MAX_REPLIES_PER_PERIOD: u32 = 4;
/// The limit of failures that are remembered.
const MAX_KNOWN_FAILURES: usize = 4_096;

/// The failures that are known here, and whether they are many. Times are in the driver's milliseconds.
#[derive(Debug)]
pub(crate) struct BulkFailureDissemination {
    gossip_period_ms: u64,
    /// Dissemination is active for this long after the last sign of a bulk failure.
    activity_window_ms: u64,
    /// When each recent failure was learned.
    known: HashMap<MemberFingerprint, u64>,
    /// The keys of `known`, oldest first.
    by_age: VecDeque<MemberFingerprint>,
    /// The exclusive or of all fingerprints in `known`.
    digest: u64,
    /// Since when dissemination is active, or resting after it was active for too long.
    active_since_ms: Option<u64>,
    active_until_ms: u64,
    next_poll_ms: u64,
    replies_in_period: u32,
}

impl BulkFailureDissemination {
    /// One for gossip with these periods.
    pub(crate) fn new(gossip_period_ms: u64, suspicion_timeout_ms: u64) -> Self {
        Self {
            gossip_period_ms,
            activity_window_ms: 2 * suspicion_timeout_ms,
            known: HashMap::new(),
            by_age: VecDeque::new(),
            digest: 0,
            active_since_ms: None,
            active_until_ms: 0,
            next_poll_ms: 0,
            replies_in_period: 0,
        }
    }

    /// Whether dissemination is active.
    pub(crate) fn is_active(&self, now_ms: u64) -> bool {
        now_ms < self.active_until_ms
    }

    /// When [`BulkFailureDissemination::poll`] is to be called next.
    pub(crate) fn next_poll_ms(&self) -> u64 {
        self.next_poll_ms
    }

    /// Records that a member has failed.
    pub(crate) fn record_failure(&mut self, now_ms: u64, fingerprint: MemberFingerprint) {
        if self.known.len() < MAX_KNOWN_FAILURES && self.known.insert(fingerprint, now_ms).is_none() {
            self.by_age.push_back(fingerprint);
            self.digest ^= fingerprint.0;
        }
    }

    /// Once in a gossip period: weighs the number of failures. While dissemination is active, returns the digest to send
    /// to a random member.
    pub(crate) fn poll(&mut self, now_ms: u64, suspects: usize, alive: usize) -> Option<u64> {
        if now_ms < self.next_poll_ms {
            return None;
        }
        self.next_poll_ms = now_ms + self.gossip_period_ms;
        self.replies_in_period = 0;
        self.forget_old_failures(now_ms);
        let many = suspects + self.recent_failures(now_ms) >= MIN_FAILURES.max(alive / ALIVE_PER_FAILURE);
        if many {
            self.extend_activity(now_ms);
        } else if !self.is_active(now_ms) {
            self.active_since_ms = None;
        }
        self.is_active(now_ms).then_some(self.digest)
    }

    fn forget_old_failures(&mut self, now_ms: u64) {
        while let Some(oldest) = self.by_age.front()
            && self.known[oldest] + REMEMBERED_WINDOWS * self.activity_window_ms < now_ms
        {
            self.digest ^= oldest.0;
            self.known.remove(oldest);
            self.by_age.pop_front();
        }
    }

    /// The number of failures learned within the activity window.
    fn recent_failures(&self, now_ms: u64) -> usize {
        let recent =
            |fingerprint: &&MemberFingerprint| self.known[*fingerprint] + self.activity_window_ms >= now_ms;
        self.by_age.iter().rev().take_while(recent).count()
    }

    /// Handles another member's digest. Returns the messages of the reply, starting with the failure at `offset`, since
    /// one reply may not hold all of them.
    pub(crate) fn reply_to_digest(&mut self, now_ms: u64, digest: u64, offset: usize) -> Vec<Message> {
        // The sender has its reasons to be active: members that exchange digests find each other's failures.
        self.extend_activity(now_ms);
        let replied_enough = self.replies_in_period >= MAX_REPLIES_PER_PERIOD;
        if digest == self.digest || self.by_age.is_empty() || replied_enough {
            return Vec::new();
        }
        self.replies_in_period += 1;
        let count = self.by_age.len();
        let rotated = self.by_age.iter().cycle().skip(offset % count).take(count);
        let fingerprints: Vec<[u8; 8]> = rotated.map(|fingerprint| fingerprint.to_bytes()).collect();
        fingerprints
            .chunks(MAX_FAILURES_PER_MESSAGE)
            .take(MAX_MESSAGES_PER_REPLY)
            .map(|chunk| Message::FailedMembers(chunk.to_vec()))
            .collect()
    }

    fn extend_activity(&mut self, now_ms: u64) {
        let active_since_ms = *self.active_since_ms.get_or_insert(now_ms);
        let limit_ms = active_since_ms.saturating_add(MAX_ACTIVE_WINDOWS * self.activity_window_ms);
        self.active_until_ms = (now_ms + self.activity_window_ms).min(limit_ms);
    }

    /// The delay after which a timer of the gossip is due that was asked for with this delay.
    pub(crate) fn timer_delay_ms(&self, now_ms: u64, delay_ms: u64, timer: &Timer<Member>) -> u64 {
        let probe = matches!(timer, Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. });
        if probe && self.is_active(now_ms) { (delay_ms / PROBE_SPEEDUP).max(1) } else { delay_ms }
    }
}

#[cfg(test)]
mod tests;
