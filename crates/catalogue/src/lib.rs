//! The endpoint list of a service that survives outages of Consul, without I/O: responses, failures and time go in, endpoint
//! lists and events come out.
//!
//! [`HealthResponse`] is what Consul's health API says of a service, [`AgentSelector`] decides which agent is queried next and
//! when, [`EndpointTracker`] turns responses into the [`EndpointList`] in use and damps sudden changes, [`CachedList`] is the
//! list's form on disk, and [`Registration`] keeps this program's own registration alive.
//!
//! Invariants:
//!
//! - A response that cannot be used, for whatever reason, never replaces a list.
//! - An endpoint that Consul marks as unhealthy, or drops while most stay, is not eligible from then on. Only a sudden loss of
//!   half the list or more, without a mark, is delayed for a configured time, and then only for endpoints that still answer
//!   clients.
//! - Memory is bounded by the fleet and what has left it lately, however many ids have come and gone.
//! - No text holds an ACL token.

mod agent_selector;
mod cached_list;
mod endpoint_tracker;
mod health_response;
mod registration;

pub use agent_selector::{AgentSelector, AgentSelectorConfig, Query, QueryOutcome};
pub use cached_list::{CachedList, CachedListError, MAX_FILE_BYTES};
pub use endpoint_tracker::{
    EligibilityReason, Endpoint, EndpointList, EndpointTracker, StabilityConfig, WatchEvent,
};
pub use health_response::{HealthResponse, HealthStatus, Instance, MAX_INSTANCES, read};
pub use registration::{Registration, RegistrationOutcome, RegistrationRequest};
