//! The adapter to foca's SWIM state machine: its effects and its timers.

use crate::Member;
use crate::bulk_failure::MemberFingerprint;
use crate::topics::SharedTopics;
use foca::{Foca, Notification, PostcardCodec, Runtime, Timer};
use rand::rngs::StdRng;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;
use timestamps::MonotonicTime;

/// The SWIM state machine.
pub(crate) type Swim = Foca<Member, PostcardCodec, StdRng, SharedTopics>;

/// A SWIM payload that is yet to be signed and sent.
pub(crate) struct OutgoingPayload {
    pub(crate) to: SocketAddr,
    pub(crate) payload: Vec<u8>,
}

/// A timer requested by the state machine.
pub(crate) struct TimerRequest {
    /// The delay from the call that requested the timer.
    pub(crate) delay: Duration,
    pub(crate) timer: Timer<Member>,
}

/// The effects of one call to the state machine.
#[derive(Default)]
pub(crate) struct SwimEffects {
    pub(crate) payloads: Vec<OutgoingPayload>,
    pub(crate) timers: Vec<TimerRequest>,
    pub(crate) members_changed: bool,
    /// Members that were declared dead during the call.
    pub(crate) failed_members: Vec<MemberFingerprint>,
    /// The new generation of this instance, if it rejoined during the call because other members had declared it dead.
    pub(crate) rejoined_generation: Option<u64>,
}

impl Runtime<Member> for SwimEffects {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberDown(member) => {
                self.failed_members.push(MemberFingerprint::of_member(member));
                self.members_changed = true;
            }
            Notification::MemberUp(_) | Notification::Rename(..) => self.members_changed = true,
            Notification::Rejoin(local_member) => self.rejoined_generation = Some(local_member.generation),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.payloads.push(OutgoingPayload { to: to.address, payload: data.to_vec() });
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.timers.push(TimerRequest { delay: after, timer: event });
    }
}

/// The pending timers of the state machine. Timers due at the same time fire in the order of their requests.
#[derive(Default)]
pub(crate) struct TimerQueue {
    pending: BinaryHeap<PendingTimer>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Schedules a timer that fires at `due`.
    pub(crate) fn schedule(&mut self, due: MonotonicTime, timer: Timer<Member>) {
        self.last_sequence += 1;
        self.pending.push(PendingTimer { due, sequence: self.last_sequence, timer });
    }

    /// Returns the moment at which the next timer is due, or `None` if no timer is pending.
    pub(crate) fn next_due(&self) -> Option<MonotonicTime> {
        self.pending.peek().map(|pending| pending.due)
    }

    /// Removes and returns the next timer if it is due at `now`.
    pub(crate) fn pop_due(&mut self, now: MonotonicTime) -> Option<Timer<Member>> {
        let is_due = self.next_due().is_some_and(|due| due <= now);
        if is_due { self.pending.pop().map(|pending| pending.timer) } else { None }
    }
}

/// A pending timer. `BinaryHeap` is a max-heap, so the order is reversed: the timer due first is the greatest.
struct PendingTimer {
    due: MonotonicTime,
    sequence: u64,
    timer: Timer<Member>,
}

impl PartialEq for PendingTimer {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.sequence) == (other.due, other.sequence)
    }
}

impl Eq for PendingTimer {}

impl PartialOrd for PendingTimer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PendingTimer {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.due, other.sequence).cmp(&(self.due, self.sequence))
    }
}
