//! The adapter to the SWIM state machine of `foca`: its effects, and its timers in the order in which they are due.

use crate::Member;
use crate::bulk_failure::MemberFingerprint;
use crate::topics::SharedTopics;
use foca::{Foca, Notification, PostcardCodec, Runtime, Timer};
use rand::rngs::StdRng;
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

/// The SWIM state machine.
pub(crate) type Swim = Foca<Member, PostcardCodec, StdRng, SharedTopics>;

/// A payload to authenticate and send.
pub(crate) struct OutgoingPayload {
    pub(crate) to: SocketAddr,
    pub(crate) payload: Vec<u8>,
}

/// A timer that the state machine has asked for.
pub(crate) struct TimerRequest {
    /// Milliseconds from the call in which it was asked for.
    pub(crate) delay_ms: u64,
    pub(crate) timer: Timer<Member>,
}

/// Collects the effects of one call of the state machine.
#[derive(Default)]
pub(crate) struct SwimEffects {
    pub(crate) payloads: Vec<OutgoingPayload>,
    pub(crate) timers: Vec<TimerRequest>,
    pub(crate) members_changed: bool,
    pub(crate) failed: Vec<MemberFingerprint>,
    /// The generation under which this instance has rejoined.
    pub(crate) rejoined: Option<u64>,
}

impl Runtime<Member> for SwimEffects {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberDown(member) => {
                self.failed.push(MemberFingerprint::of(member));
                self.members_changed = true;
            }
            Notification::MemberUp(_) | Notification::Rename(..) => self.members_changed = true,
            Notification::Rejoin(local_member) => self.rejoined = Some(local_member.generation),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.payloads.push(OutgoingPayload { to: to.address, payload: data.to_vec() });
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.timers.push(TimerRequest { delay_ms: after.as_millis() as u64, timer: event });
    }
}

/// A pending timer. The greatest is the one due first, as a `BinaryHeap` wants it.
pub(crate) struct PendingTimer {
    /// When it is due, in the driver's milliseconds.
    pub(crate) due_ms: u64,
    /// Orders timers due at the same time by when they were asked for.
    pub(crate) sequence: u64,
    pub(crate) timer: Timer<Member>,
}

impl PartialEq for PendingTimer {
    fn eq(&self, other: &Self) -> bool {
        (self.due_ms, self.sequence) == (other.due_ms, other.sequence)
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
        (other.due_ms, other.sequence).cmp(&(self.due_ms, self.sequence))
    }
}
