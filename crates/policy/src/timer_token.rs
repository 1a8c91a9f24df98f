//! Tokens of timers: what a timer is for, in the value that comes back when it expires.

use crate::ids::RequestId;
use crate::time::Micros;

/// Microseconds between two looks at unreported spend and silent backends. Short against every latency
/// objective.
pub(crate) const TICK: Micros = 20_000;

/// A token holds its kind in the highest byte, the attempt from bit 32 on, and the request in the lowest 32 bits.
pub(crate) const TOKEN_TICK: u64 = 0;
const TOKEN_DEADLINE: u64 = 1 << 56;
const TOKEN_HEDGE: u64 = 2 << 56;
const TOKEN_KINDS: u64 = 0xff << 56;
const ATTEMPT_SHIFT: u32 = 32;

pub(crate) fn deadline_token(id: RequestId) -> u64 {
    TOKEN_DEADLINE | u64::from(id.0)
}

pub(crate) fn hedge_token(id: RequestId, attempt: u8) -> u64 {
    TOKEN_HEDGE | u64::from(attempt) << ATTEMPT_SHIFT | u64::from(id.0)
}

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TimerKind {
    /// The periodic work.
    Tick,
    /// A request has to be answered now.
    Deadline { request: RequestId },
    /// An attempt is slow: a hedged request may be worth its work.
    Hedge { request: RequestId, attempt: usize },
}

impl TimerKind {
    /// Unknown tokens read as the tick.
    pub(crate) fn of(token: u64) -> Self {
        let request = RequestId(token as u32);
        match token & TOKEN_KINDS {
            TOKEN_DEADLINE => Self::Deadline { request },
            TOKEN_HEDGE => Self::Hedge { request, attempt: usize::from((token >> ATTEMPT_SHIFT) as u8) },
            _ => Self::Tick,
        }
    }
}
