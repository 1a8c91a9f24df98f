//! Actions: the outputs of the state machine, which the driver carries out.

use crate::ids::{BackendId, RequestId};
use crate::time::Micros;
use std::fmt;

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The level of the tenant's shared token bucket is certain, and does not cover the cost of the request.
    QuotaExhausted,
    /// This gatekeeper's share of the tenant's quota is spent. The share limits requests while the level of
    /// the shared bucket is uncertain or the counter does not answer.
    LocalShareExhausted,
    /// The tenant has as many attempts in flight as its plan allows.
    TooManyInFlight,
    /// This gatekeeper's share of the tenant's hard ceiling is spent.
    CeilingReached,
    /// This gatekeeper has as many attempts in flight as the concurrency limit of the service allows.
    NoCapacity,
    /// No backend accepts the request now: the service has no backend, or all are draining, ejected, in
    /// connect backoff, at their limit of attempts in flight, or warming up.
    NoBackend,
    /// The request was admitted, but no attempt succeeded in time.
    AttemptsExhausted,
}

impl RejectReason {
    /// All reject reasons, each at the index of its discriminant.
    pub const ALL: [Self; 7] = [
        Self::QuotaExhausted,
        Self::LocalShareExhausted,
        Self::TooManyInFlight,
        Self::CeilingReached,
        Self::NoCapacity,
        Self::NoBackend,
        Self::AttemptsExhausted,
    ];

    /// The stable name of the reason in metrics.
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

/// A state change that is logged for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Calls to the shared counter fail, so quotas are enforced by local shares.
    CounterSilent,
    /// The shared counter answers again, so quotas are enforced by the shared buckets.
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

/// One output of the state machine. The driver carries out actions in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward a request to a backend as a new attempt. The attempts of a request are numbered from 0 in the
    /// order in which they are sent.
    Send {
        /// The request to forward.
        id: RequestId,
        /// The selected backend.
        backend: BackendId,
        /// Abandon the attempt after this time; 0 means at the client's deadline.
        timeout: Micros,
        /// Do not write the attempt if no connection is established within this time. An attempt written
        /// later might reach its backend after idempotency keys have expired, and would then not be dropped
        /// as a duplicate.
        max_start_delay: Micros,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within its request, from 0 in order of sending.
        attempt: u8,
    },
    /// Give the client its final answer: the request is rejected, and a retry is safe.
    Reject {
        /// The request to reject.
        id: RequestId,
        /// Retry-After for the client; 0 means none.
        retry_after: Micros,
        /// Why the request is rejected, for metrics.
        reason: RejectReason,
    },
    /// Give the client its final answer: the request failed, and may or may not have been executed.
    Fail {
        /// The request to fail.
        id: RequestId,
    },
    /// Deliver [`Event::Timer`](crate::Event::Timer) later.
    Timer {
        /// Time from now until the event.
        after: Micros,
        /// Value to return with the event, which tells the state machine what the timer is for.
        token: u64,
    },
    /// Send a health check to a backend, and deliver its result as
    /// [`Event::HealthCheckEnded`](crate::Event::HealthCheckEnded).
    HealthCheck {
        /// The backend to check.
        backend: BackendId,
    },
    /// Add units to a count at the shared counter, and read the total of the count.
    CounterAdd {
        /// Name of the count; the counter creates the count if it does not exist.
        name: u64,
        /// Units to add to the count; negative to subtract units.
        units: f64,
        /// Time after which the count expires if this call creates it.
        ttl: Micros,
    },
    /// Read the endpoint list and deliver it as an event.
    PollEndpoints,
    /// Log a state change for operators.
    Log(Notice),
}
