//! The endpoint list of a service, with the reason why each endpoint is eligible or not.

use crate::{HealthStatus, Instance};
use timestamps::MonotonicTime;

/// Number of an endpoint, which is one instance id at one address. Numbers are never reused: an instance that changes its
/// address, or returns after its record was removed, gets a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointNumber(pub u32);

/// Why an endpoint is eligible for requests, or is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EligibilityReason {
    /// Eligible: Consul lists the instance with a sufficient health status.
    Listed,
    /// Not eligible: the instance's health checks report this status.
    Unhealthy(HealthStatus),
    /// Not eligible: the instance is healthy, but has flapped, and flap damping suppresses it until this time.
    Flapping(MonotonicTime),
    /// Not eligible: another eligible instance has the same address.
    DuplicateAddress,
    /// Not eligible: Consul lists the instance with weight 0.
    ZeroWeight,
    /// Eligible: the endpoint vanished in a sudden loss, answered a client shortly before, and is retained until this time.
    Retained(MonotonicTime),
    /// Not eligible: Consul no longer lists the instance.
    Deregistered,
}

impl EligibilityReason {
    /// Whether an endpoint with this reason gets requests.
    pub fn is_eligible(self) -> bool {
        matches!(self, Self::Listed | Self::Retained(_))
    }
}

/// An instance of a service at one address, and whether it gets requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identifies the pair of instance id and address in this process.
    pub number: EndpointNumber,
    /// The instance as Consul last listed it.
    pub instance: Instance,
    /// Whether the endpoint gets new requests; the same as `reason.is_eligible()`.
    pub eligible: bool,
    /// Why the endpoint is eligible, or why not.
    pub reason: EligibilityReason,
    /// When the endpoint last became eligible; `None` if it has been eligible since the first list.
    pub eligible_since: Option<MonotonicTime>,
}

/// The endpoints of a service that Consul lists or that are eligible (retained).
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
        /// Number of eligible endpoints in the list.
        eligible: usize,
    },
    /// An endpoint became eligible, ceased to be eligible, or is now suppressed by flap damping.
    EligibilityChanged {
        /// Node name and service id of the endpoint's instance.
        id: String,
        /// Whether the endpoint is eligible now.
        eligible: bool,
        /// Why the endpoint is eligible now, or why not.
        reason: EligibilityReason,
    },
    /// One response no longer lists a large share of the eligible endpoints, although Consul did not report them as unhealthy.
    SuddenLoss {
        /// Number of endpoints that vanished.
        vanished: usize,
        /// Number of endpoints that were eligible before the response.
        eligible_before: usize,
        /// Number of vanished endpoints that are retained.
        retained: usize,
    },
    /// The retention after a sudden loss has ended, and some retained endpoints have not reappeared.
    RetentionEnded {
        /// Number of endpoints that are no longer retained.
        count: usize,
    },
}
