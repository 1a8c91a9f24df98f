//! The decisions of a gatekeeper that holds tenants to their quotas before shared backends, as a state machine without I/O.
//!
//! A driver feeds [`Policy::handle`] with an [`Event`] for everything that happens and carries out the [`Action`]s that come back,
//! in order. Each concern has a module of its own:
//!
//! | module | decides |
//! | --- | --- |
//! | `admission` | whether a request is forwarded, rejected, or waits for a fresh total |
//! | `quota` | token buckets of a tenant: what an admission takes, and what its answer corrects |
//! | `counter_sync` | when spend is reported to the shared counter |
//! | `surcharge` | what classes pay while latency is high |
//! | `concurrency_limit` | how many attempts may be in flight, and which work may use the last of the capacity |
//! | `selection` | which backend gets an attempt |
//! | `slow_start` | how much a backend that has just started is sent |
//! | `outlier_detection` | which backends are ejected, and when they are tried again |
//! | `endpoints` | which backends are ready, and in which order they are preferred |
//! | `attempts` | retries, hedged requests, the final answer |
//! | `timers` | the periodic work |
//!
//! The other modules hold state and estimates and decide nothing. A *request* is what a client sends; an *attempt* is one
//! forwarding of it to a *backend*; a *tenant* is whose quota it takes.
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
mod attempts;
mod bucket_estimator;
mod concurrency_limit;
mod counter_sync;
mod endpoints;
mod estimates;
mod event;
mod fleet_summary;
mod headroom;
mod ids;
mod latency_trend;
mod outlier_detection;
mod quantile;
mod quota;
mod selection;
mod settings;
mod settings_update;
mod slow_start;
mod snapshot;
mod start_times;
mod state;
mod state_machine;
mod surcharge;
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
