//! The scheduler of a cluster's periodic jobs: it decides which runs this instance starts, and when.
//!
//! [`Scheduler`] is a state machine without I/O, clock or thread. Its inputs are the time, the live members and the responses
//! of the lease store. Its outputs are calls to the lease store and runs to start. [`rendezvous`] ranks the live members for
//! each job. The first, the owner, attempts a run at its scheduled time. The standbys follow one after the other, with
//! enough distance to avoid conflicts and early enough to finish in the same period. The lease store alone decides which
//! attempt succeeds (see the crate `job_lease`).
//!
//! A run is identified by its scheduled time in Unix milliseconds, so ids increase even if a job's period changes. The id is
//! also the fencing token: a receiver that remembers the highest id can reject late and repeated runs.
//!
//! Invariants:
//!
//! - A run starts at most once, and only after its lease was confirmed.
//! - A run carries its deadline on both clocks. The driver checks it again before it acts ([`Run::may_start`]), because the
//!   process may be paused at any point.
//! - Without a session nothing is written. While the store is unavailable, there is at most one call per retry interval.

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
pub use scheduler::{JobStatus, LastRun, Scheduler};
pub use store_call::{CallId, StoreCall, StoreResponse};
