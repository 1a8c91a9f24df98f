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
mod endpoint_list;
mod endpoint_tracker;
mod error;
mod format;
mod health_response;
mod registration;
mod stability;
mod time;

pub use agent_selector::{AgentSelector, AgentSelectorConfig, Freshness, PollBackoff, Query, QueryOutcome};
pub use cached_list::{AgedList, CachedList};
pub use endpoint_list::{EligibilityReason, Endpoint, EndpointList, EndpointNumber, WatchEvent};
pub use endpoint_tracker::{EndpointTracker, HasAttempts, LastAnswerAt};
pub use error::{CachedListError, InstanceError, ResponseError};
pub use format::{MAX_FILE_BYTES, MAX_INSTANCES};
pub use health_response::{HealthResponse, HealthStatus, Instance, InvalidInstance};
pub use registration::{Registration, RegistrationChange, RegistrationOutcome, RegistrationRequest};
pub use stability::StabilityConfig;
pub use time::Millis;
