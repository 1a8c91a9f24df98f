//! The endpoint list in use, and why an endpoint is in it or not.

use crate::{HealthStatus, Instance, Millis};

/// The number of an endpoint: a new one for each id at an address, and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointNumber(pub u32);

/// Why an endpoint is eligible for requests, or is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EligibilityReason {
    /// It is listed and healthy enough.
    Listed,
    /// Its checks mark it as not eligible.
    Unhealthy(HealthStatus),
    /// It was marked and unmarked too often lately: not eligible until this time.
    Flapping(Millis),
    /// Another instance at its address is eligible.
    DuplicateAddress,
    /// Its weight is 0.
    ZeroWeight,
    /// It vanished with much of the list and still answers: retained until this time.
    Retained(Millis),
    /// It is no longer listed.
    Deregistered,
}

impl EligibilityReason {
    /// Whether an endpoint gets requests for this reason.
    pub fn is_eligible(self) -> bool {
        matches!(self, Self::Listed | Self::Retained(_))
    }
}

/// An endpoint of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its number.
    pub number: EndpointNumber,
    /// The instance as Consul listed it last.
    pub instance: Instance,
    /// Whether it gets new requests.
    pub eligible: bool,
    /// Why.
    pub reason: EligibilityReason,
    /// When it became eligible last; `None` if it has been since the first list.
    pub eligible_since: Option<Millis>,
}

/// The endpoints of a service that are listed or eligible.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// By number.
    pub endpoints: Vec<Endpoint>,
}

/// A change of an endpoint list, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The list, or an endpoint in it, has changed.
    ListChanged {
        /// Endpoints of the list.
        listed: usize,
        /// Those of them that are eligible.
        eligible: usize,
    },
    /// An endpoint has become eligible or ceased to be, or is held now for another reason.
    EligibilityChanged {
        /// Its id.
        id: String,
        /// Whether it is eligible now.
        eligible: bool,
        /// Why.
        reason: EligibilityReason,
    },
    /// Much of the list vanished in one response without a mark.
    SuddenLoss {
        /// How many vanished.
        vanished: usize,
        /// Of how many that were eligible.
        of: usize,
        /// How many of those that vanished are retained.
        retained: usize,
    },
    /// The endpoints that were retained after a sudden loss are given up.
    LossAccepted {
        /// How many.
        count: usize,
    },
}
