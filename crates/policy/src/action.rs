//! Actions: what the state machine asks of the driver.

use crate::ids::{BackendId, RequestId};
use crate::time::Micros;
use std::fmt;

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The shared token bucket is certainly empty.
    QuotaExhausted,
    /// The shared bucket is uncertain or the counter is silent, and this gatekeeper's share of the quota is spent.
    LocalShareExhausted,
    /// The tenant has as many attempts in flight as its plan allows.
    TooManyInFlight,
    /// This gatekeeper's share of the hard ceiling is spent.
    CeilingReached,
    /// The capacity of the backends is in use.
    NoCapacity,
    /// No backend accepts it now: all are draining, ejected, in connect backoff or warming up.
    NoBackend,
    /// It was admitted, and no attempt succeeded in time.
    AttemptsExhausted,
}

impl RejectReason {
    /// All reasons, each at the index of its number.
    pub const ALL: [Self; 7] = [
        Self::QuotaExhausted,
        Self::LocalShareExhausted,
        Self::TooManyInFlight,
        Self::CeilingReached,
        Self::NoCapacity,
        Self::NoBackend,
        Self::AttemptsExhausted,
    ];

    /// The name that operators read in counters; it never changes.
    pub fn name(self) -> &'static str {
        match self {
            Self::QuotaExhausted => "quota",
            Self::LocalShareExhausted => "own_part",
            Self::TooManyInFlight => "open",
            Self::CeilingReached => "ceiling",
            Self::NoCapacity => "no_place",
            Self::NoBackend => "no_backend",
            Self::AttemptsExhausted => "given_up",
        }
    }
}

/// A change of state that operators are notified of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Calls to the shared counter fail; quotas are enforced by local shares.
    CounterSilent,
    /// The shared counter has recovered.
    CounterRecovered,
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::CounterSilent => "quota counter unreachable, local shares enforced",
            Self::CounterRecovered => "quota counter recovered",
        })
    }
}

/// One action. Actions are to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward the request to a backend.
    Send {
        /// The request.
        id: RequestId,
        /// The backend.
        backend: BackendId,
        /// Give the attempt up after this time; 0 for the client's deadline.
        timeout: Micros,
        /// Do not write it if its connection is not established within this time: backends might no longer drop it as a
        /// duplicate.
        max_start_delay: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u8,
    },
    /// Final answer: rejected, a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After; 0 for none.
        retry_after: Micros,
        /// The reason.
        reason: RejectReason,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Deliver a timer event later.
    Timer {
        /// From now.
        after: Micros,
        /// Comes back with the event.
        token: u64,
    },
    /// Check the health of a backend.
    HealthCheck {
        /// The backend.
        backend: BackendId,
    },
    /// Add to a named count of the shared counter and read its total.
    CounterAdd {
        /// The name of the count.
        name: u64,
        /// Units to add.
        units: f64,
        /// Expiry of a new name.
        ttl: Micros,
    },
    /// Poll the endpoint list.
    PollEndpoints,
    /// Notify the operators.
    Log(Notice),
}
