//! The policy of a gatekeeper that holds tenants to their quotas before shared backends, as a state machine without I/O.
//!
//! A driver feeds [`Policy::handle`] with an [`Event`] for everything that happens and carries out the [`Action`]s that come back,
//! in order. `Policy` holds the parts, hands each event to them, and puts their answers together:
//!
//! | module | job |
//! | --- | --- |
//! | `state_machine` | holds the parts and dispatches events |
//! | `admission` | forwards a request, rejects it, or lets it wait for a fresh total |
//! | `attempts` | sends attempts, retries and hedged requests, and gives the final answer |
//! | `attempt_outcomes` | feeds the end of an attempt to the parts that learn from it |
//! | `counter_calls` | calls the shared counter and applies its totals |
//! | `pool_updates` | applies the endpoint list and operator ejections, and the periodic work over backends |
//! | `timers` | runs what a timer is for, and the periodic work |
//!
//! Each part owns its state behind a few methods, and is tested without the rest:
//!
//! | part | state |
//! | --- | --- |
//! | `tenant_quota` | the quota of one tenant: shares of bucket and ceiling, reservations, surcharge |
//! | `shared_bucket` | the estimated level of a token bucket that several gatekeepers share |
//! | `counter_sync` | which tenants have spend to report, and the counter calls in flight |
//! | `counter_health` | whether the counter is silent, and the rate limit of calls to it |
//! | `attempt_rules` | whether a further attempt keeps the promise of its class (no state) |
//! | `retry_budget` | tokens of retries and hedged requests |
//! | `endpoints` | the known backends and operator ejections |
//! | `outlier_detection` | which backends are ejected, and when they get a trial |
//! | `slow_start` | how much a backend that has just started is sent |
//! | `backend_latency`, `class_stats`, `latency_trend` | latency estimates of a backend, of a class, and over all |
//! | `service_pool` | the order of preference and running means of the backends of one service |
//! | `concurrency_limit` | how many attempts may be in flight, and which work may use the last of the capacity |
//! | `selection` | which backend gets an attempt (no state) |
//! | `surcharge` | what classes pay while latency is high (no state) |
//! | `start_times` | start times of backends, and the offset of this gatekeeper's clock |
//!
//! A *request* is what a client sends; an *attempt* is one forwarding of it to a *backend*; a *tenant* is whose quota it takes. A
//! moment is a [`Timestamp`], a span of time is [`Micros`].
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
