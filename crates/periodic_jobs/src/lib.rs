//! Periodic jobs of a cluster: which instance does which run of which job, and when.
//!
//! [`Scheduler`] takes events — time passing, members joining and leaving, responses of the lease store — and returns
//! actions: open a session, read, compare-and-set, start a run. It has no I/O, no clock and no thread. [`rendezvous`] ranks
//! the live members for each job: the first tries a run at its scheduled time, the others step in one after the other, late
//! enough not to race it and early enough to finish in the same period. Whether they may is for the lease store alone to
//! say (see the crate `job_lease`).
//!
//! A run is identified by its scheduled time in Unix milliseconds, so ids only grow, also when a job's period is changed.
//! The id is the fencing token too: a receiver that keeps the highest it has seen rejects what comes late or twice.
//!
//! Invariants:
//!
//! - A run is started only after a lease on that very run was confirmed, and once at most.
//! - A run carries its deadline on both clocks; whoever carries it out checks again before it acts
//!   ([`Run::may_start`]), since a pause may fall anywhere.
//! - Without a session nothing is written, and while the store is unavailable there is one call in each retry period and
//!   no more.

mod action;
mod clock;
mod config;
mod job;
pub mod rendezvous;
mod scheduler;

pub use action::{Action, CallId, Notice, ResetReason};
pub use clock::ClockReading;
pub use config::Config;
pub use job::{Job, Run};
pub use scheduler::{JobStatus, LastRun, Scheduler};
