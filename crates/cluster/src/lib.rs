//! The cluster of gatekeepers. Drives the state machines `membership` (over UDP), `periodic_jobs` and `job_lease` (over
//! Consul's HTTP API or in memory) and `health_check`, and executes the runs of jobs, which are HTTP calls and health checks.
//!
//! One thread, the coordinator, owns all state and handles events from one bounded queue. Another thread receives gossip.
//! Two worker pools, one for store calls and one for runs, have separate bounded queues, so a slow target never delays a
//! lease. None of these threads is a worker of the `may` coroutine runtime, which serves requests. Without a `[cluster]`
//! table in the settings there is no UDP socket, and without jobs and health checks none of these threads is started.

mod clocks;
mod coordinator;
mod error;
mod event;
mod gossip_node;
mod gossip_receiver;
mod handle;
mod health_monitor;
mod http_agent;
mod job_names;
mod job_table;
mod log_limiter;
mod run_executor;
mod settings;
mod store_client;
mod worker_pool;

pub use error::ClusterError;
pub use handle::Cluster;
pub use health_monitor::OnEjectionChange;
pub use settings::{Backend, Gossip, HealthChecks, HttpJob, LeaseStore, Settings};
