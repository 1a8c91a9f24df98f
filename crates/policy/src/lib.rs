//! Load balancing, retry and rate limiting decisions of a gatekeeper, as a state machine without I/O.
//!
//! A gatekeeper is a proxy that enforces the quotas of tenants in front of shared backends.
//!
//! A driver passes an [`Event`] for everything that happens to [`Policy::handle`], and carries out the
//! returned [`Action`]s in order. These modules of `Policy` handle the events and combine the results of its
//! parts, which are listed further below:
//!
//! | module | job |
//! | --- | --- |
//! | `state_machine` | owns the parts and dispatches events |
//! | `admission` | forwards a request, rejects it, or queues it until the counter replies |
//! | `attempts` | sends attempts, retries and hedged requests, and gives up requests |
//! | `attempt_outcomes` | updates health, latency estimates and the concurrency limit when an attempt ends |
//! | `counter_calls` | calls the shared counter and applies its totals |
//! | `pool_updates` | applies the endpoint list and operator ejections, and updates backends periodically |
//! | `timers` | handles expired timers, and runs the periodic work |
//!
//! Each part owns its state behind a few methods, and can be tested without the rest:
//!
//! | part | state |
//! | --- | --- |
//! | `tenant_quota` | the quota of one tenant: shares of bucket and ceiling, reservations, surcharge |
//! | `shared_bucket` | the estimated level of a token bucket that several gatekeepers share |
//! | `counter_sync` | which tenants have spend to report, and the counter calls in flight |
//! | `counter_health` | whether the counter answers, and the rate limit of calls to it |
//! | `attempt_rules` | whether a retry or hedged request respects the idempotency of its class (no state) |
//! | `retry_budget` | token bucket that limits retries and hedged requests |
//! | `endpoints` | known backends and operator ejections |
//! | `outlier_detection` | which backends are ejected, and when each gets its next trial request |
//! | `slow_start` | rate limit of attempts to a backend that has just started |
//! | `backend_latency`, `class_stats`, `latency_trend` | latency estimates by backend, by class and overall |
//! | `service_pool` | preference order and running means of the backends of a service |
//! | `concurrency_limit` | limit of attempts in flight, with a reserve for requests of high weight |
//! | `selection` | which backend gets an attempt (no state) |
//! | `surcharge` | factor on the cost of a class while latency is high (no state) |
//! | `start_times` | start times of backends, and the offset of this gatekeeper's clock |
//!
//! A *request* comes from a client. An *attempt* forwards it to one *backend*. The quota of its *tenant* is
//! charged for it. A [`Timestamp`] is a point in time, [`Micros`] a duration.
//!
//! # Examples
//!
//! ```
//! use policy::{Action, BackendEntry, BackendId, Event, ListKind, Plan, Policy, RequestClass, RequestId, Settings, TenantId, Timestamp};
//!
//! let settings =
//!     Settings { classes: vec![RequestClass::default()], plans: vec![Plan::default()], ..Settings::default() };
//! let mut policy = Policy::new(settings, 42, Timestamp::ZERO)?;
//! let mut actions = Vec::new();
//! let entries = vec![BackendEntry { id: BackendId(5), ..BackendEntry::default() }];
//! policy.handle(Timestamp::ZERO, Event::Endpoints { kind: ListKind::Full, entries }, &mut actions);
//! let request = Event::Request {
//!     id: RequestId(1),
//!     class: 0,
//!     plan: 0,
//!     tenant: TenantId(9),
//!     time_left: 1_000_000,
//!     tenant_gatekeepers: 1.0,
//!     units: 4.0,
//!     client_retry: false,
//! };
//! policy.handle(Timestamp::from_micros(1_000), request, &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { backend: BackendId(5), .. })));
//! # Ok::<(), policy::SettingsError>(())
//! ```

#![forbid(unsafe_code)]

mod action;
mod admission;
mod attempt_outcomes;
mod attempt_rules;
mod attempts;
mod backend;
mod backend_latency;
mod class_stats;
mod concurrency_limit;
mod count_total;
mod counter_calls;
mod counter_health;
mod counter_sync;
mod endpoints;
mod event;
mod fleet_summary;
mod hash;
mod headroom;
mod ids;
mod latency_trend;
mod outlier_detection;
mod pool_updates;
mod quantile;
mod request;
mod retry_budget;
mod selection;
mod service_pool;
mod settings;
mod settings_update;
mod shared_bucket;
mod slow_start;
mod snapshot;
mod start_times;
mod state_machine;
mod stored;
mod surcharge;
mod tenant_quota;
mod time;
mod timer_token;
mod timers;

pub use action::{Action, Notice, RejectReason};
pub use event::{BackendEntry, BackendState, Event, ListKind, Outcome};
pub use fleet_summary::FleetSummary;
pub use ids::{BackendId, RequestId, TenantId};
pub use quantile::P2Quantile;
pub use settings::{
    DedupScope, Idempotency, LoadMetric, LoadReporting, Plan, RequestClass, Settings, SettingsError,
};
pub use snapshot::PolicySnapshot;
pub use state_machine::Policy;
pub use time::{Micros, Timestamp};
