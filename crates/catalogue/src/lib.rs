//! Service discovery through Consul as a state machine without I/O: responses, failures and time go in, endpoint lists and events
//! come out. The endpoint list survives outages of Consul.
//!
//! - [`HealthResponse`] parses a response of Consul's health API.
//! - [`AgentSelector`] decides which agent gets the next blocking query, and when.
//! - [`EndpointTracker`] turns responses into the [`EndpointList`] in use, and damps sudden changes.
//! - [`CachedList`] encodes the list for the cache file.
//! - [`Registration`] keeps this process registered as a service.
//!
//! Invariants:
//!
//! - An invalid response never replaces a list.
//! - An endpoint that Consul marks as unhealthy, or drops while most others stay, is not eligible from then on. The exception is a
//!   sudden loss, a response that drops a large share of the list without marking it: endpoints that still answer clients are
//!   then retained for a configured time.
//! - Memory is bounded by the present instances and a fixed number of those that have left.
//! - No error text contains an ACL token.

mod agent_selector;
mod cached_list;
mod endpoint_list;
mod endpoint_tracker;
mod error;
mod exponential_backoff;
mod format;
mod health_response;
mod registration;
mod stability;
mod stored_time;

pub use agent_selector::{AgentSelector, AgentSelectorConfig, Freshness, Query, QueryOutcome};
pub use cached_list::{AgedList, CachedList};
pub use endpoint_list::{EligibilityReason, Endpoint, EndpointList, EndpointNumber, WatchEvent};
pub use endpoint_tracker::{EndpointTracker, HasAttempts, LastAnswerAt};
pub use error::{CachedListError, InstanceError, ResponseError};
pub use exponential_backoff::ExponentialBackoff;
pub use format::{MAX_FILE_BYTES, MAX_INSTANCES};
pub use health_response::{HealthResponse, HealthStatus, Instance, InvalidInstance};
pub use registration::{Registration, RegistrationChange, RegistrationOutcome, RegistrationRequest};
pub use stability::StabilityConfig;
