//! The scheduler of a cluster's periodic jobs: it decides which runs this instance starts, and when.
//!
//! [`Scheduler`] is a state machine without I/O, clock or thread. Its inputs are the time, the live members and the responses
//! of the lease store. Its outputs are calls to the lease store and runs to start. [`rendezvous`] ranks the live members for
//! each job. The member with rank 0, the owner, attempts a run at its scheduled time. The standbys with the next ranks attempt
//! it one after the other, at intervals long enough to avoid conflicts and early enough to finish the run in the same period.
//! The lease store alone decides which attempt succeeds (see the crate `job_lease`).
//!
//! A run is identified by its scheduled time in Unix milliseconds, so ids increase even if a job's period changes. The id is
//! also the fencing token: a receiver that remembers the highest id it has seen can reject late and repeated runs.
//!
//! Invariants:
//!
//! - A run starts at most once, and only after the store has confirmed its lease.
//! - A run carries its deadline on the Unix clock and on the monotonic clock. The driver checks the deadline again right before
//!   it starts the run ([`Run::may_start`]), because the process may be paused at any point.
//! - Nothing is written without a session. While the store is unavailable, there is at most one call per retry interval.

mod action;
mod clock;
mod config;
mod job;
pub mod rendezvous;
mod scheduler;
mod store_call;

pub use action::{Action, Notice, ResetReason};
pub use clock::ClockReading;
pub use config::Config;
pub use job::{Job, Run};
pub use scheduler::{JobStatus, LastRun, NextStep, Scheduler};
pub use store_call::{CallId, StoreCall, StoreResponse};
