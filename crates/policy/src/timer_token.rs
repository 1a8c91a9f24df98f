//! Timer tokens: values that tell what an expired timer is for.

use crate::ids::RequestId;
use crate::time::Micros;

/// Microseconds between checks for unreported spend and silent backends, short compared with every latency
/// objective.
pub(crate) const TICK_INTERVAL: Micros = 20_000;

/// A token has its kind in the highest byte, the attempt number from bit 32, and the request in the lowest 32
/// bits.
pub(crate) const TOKEN_TICK: u64 = 0;
const TOKEN_DEADLINE: u64 = 1 << 56;
const TOKEN_HEDGE: u64 = 2 << 56;
const TOKEN_KIND_MASK: u64 = 0xff << 56;
const ATTEMPT_SHIFT: u32 = 32;

pub(crate) fn deadline_token(id: RequestId) -> u64 {
    TOKEN_DEADLINE | u64::from(id.0)
}

pub(crate) fn hedge_token(id: RequestId, attempt: u8) -> u64 {
    TOKEN_HEDGE | u64::from(attempt) << ATTEMPT_SHIFT | u64::from(id.0)
}

/// The purpose of an expired timer, decoded from its token.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TimerKind {
    /// The periodic work is due, see [`TICK_INTERVAL`].
    Tick,
    /// The deadline of a request is near, so the request has to be answered now.
    Deadline { request: RequestId },
    /// The hedge delay of an attempt has passed. If the attempt has no answer, a hedged request is
    /// considered.
    Hedge { request: RequestId, attempt: usize },
}

impl TimerKind {
    /// Decodes a token. An unknown kind counts as [`Self::Tick`].
    pub(crate) fn from_token(token: u64) -> Self {
        let request = RequestId(token as u32);
        match token & TOKEN_KIND_MASK {
            TOKEN_DEADLINE => Self::Deadline { request },
            TOKEN_HEDGE => Self::Hedge { request, attempt: usize::from((token >> ATTEMPT_SHIFT) as u8) },
            _ => Self::Tick,
        }
    }
}
