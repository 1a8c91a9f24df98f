//! Drives the pure crates of a cluster: `membership` over UDP, `periodic_jobs` and `job_lease` over Consul's HTTP API or
//! in the process, `health_check`, and the runs themselves: HTTP calls and health checks.
//!
//! One thread, the coordinator, owns all state and is fed through one bounded queue; a thread receives gossip; a few make
//! calls to the lease store and a few carry out runs, each from a bounded queue of its own, so that a slow target never
//! delays a lease. Nothing here runs on the program's `may` worker. Without a `[cluster]` table in the operator's file
//! there is no listener, and without jobs and health checks none of these threads is started.

mod clocks;
mod coordinator;
mod error;
mod event;
mod gossip_receiver;
mod handle;
mod job_names;
mod log_limiter;
mod run_executor;
mod settings;
mod store_client;
mod worker_pool;

pub use coordinator::OnEjectionChange;
pub use error::ClusterError;
pub use handle::Cluster;
pub use settings::{Backend, Gossip, HealthChecks, HttpJob, LeaseStore, Settings};
