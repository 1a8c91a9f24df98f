//! The endpoint list in use, and the reason why each endpoint is eligible or not.

use crate::{HealthStatus, Instance};
use timestamps::MonotonicTime;

/// Number of an endpoint. Each pair of id and address gets a new one, and numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointNumber(pub u32);

/// Why an endpoint is eligible for requests, or is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EligibilityReason {
    /// Eligible: it is listed, and its health status is good enough.
    Listed,
    /// Not eligible: its health checks report this status.
    Unhealthy(HealthStatus),
    /// Not eligible: it is flapping, and flap damping suppresses it until this moment.
    Flapping(MonotonicTime),
    /// Not eligible: another eligible instance has the same address.
    DuplicateAddress,
    /// Not eligible: its weight is 0.
    ZeroWeight,
    /// Eligible: it vanished in a sudden loss, still answers clients, and is retained until this moment.
    Retained(MonotonicTime),
    /// Not eligible: it is no longer listed.
    Deregistered,
}

impl EligibilityReason {
    /// Whether an endpoint with this reason gets requests.
    pub fn is_eligible(self) -> bool {
        matches!(self, Self::Listed | Self::Retained(_))
    }
}

/// An endpoint of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its number.
    pub number: EndpointNumber,
    /// The instance as Consul last listed it.
    pub instance: Instance,
    /// Whether it gets new requests.
    pub eligible: bool,
    /// Why it is eligible or not.
    pub reason: EligibilityReason,
    /// When it last became eligible; `None` if it has been eligible since the first list.
    pub eligible_since: Option<MonotonicTime>,
}

/// The endpoints of a service that are listed or eligible.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// The endpoints, in order of their numbers.
    pub endpoints: Vec<Endpoint>,
}

impl EndpointList {
    /// The endpoints that get new requests.
    pub fn eligible(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(|endpoint| endpoint.eligible)
    }
}

/// A change of an endpoint list, reported for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The list, or an endpoint in it, has changed.
    ListChanged {
        /// Number of endpoints in the list.
        listed: usize,
        /// Number of those that are eligible.
        eligible: usize,
    },
    /// An endpoint became eligible, ceased to be eligible, or is now suppressed by flap damping.
    EligibilityChanged {
        /// Id of the endpoint.
        id: String,
        /// Whether it is eligible now.
        eligible: bool,
        /// Why.
        reason: EligibilityReason,
    },
    /// One response dropped a large share of the eligible endpoints, none of them marked unhealthy.
    SuddenLoss {
        /// Number of endpoints that vanished.
        vanished: usize,
        /// Number of endpoints that were eligible before the response.
        eligible_before: usize,
        /// Number of vanished endpoints that are retained.
        retained: usize,
    },
    /// The retention after a sudden loss ended, and these endpoints did not reappear.
    LossAccepted {
        /// Number of endpoints that are no longer retained.
        count: usize,
    },
}
