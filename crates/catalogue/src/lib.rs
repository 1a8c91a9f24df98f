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
//! - An endpoint becomes ineligible as soon as Consul reports it as unhealthy or no longer lists it. The exception is a sudden
//!   loss, a response that drops a large share of the eligible endpoints without reporting them as unhealthy: those that
//!   recently answered a client are then retained for a configured time.
//! - Memory is bounded: the tracker keeps the listed and retained instances, those with attempts in flight, and a fixed maximum
//!   number of deregistered ones.
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
