//! System tests: programs that measure real gatekeepers, most of them through the fault-injection harness.
//!
//! Each program `proof-NAME` starts the release build in its own folder, prints a table of figures and a last line
//! `proof ...: ...` with the verdict, and exits with 1 if a figure is out of its bound. Two programs measure the state machines
//! in simulated time instead.
//!
//! This library holds the code that the programs share: [`Table`] and [`Verdict`] for their reports, [`Distribution`] for
//! percentiles, [`run_schedules`] for schedules of faults, [`JobRuns`] and [`sole_version`] for histories, [`Gatekeeper`] for
//! single processes, and [`gatekeeper_output`] for the texts that the programs search for.

mod addresses;
mod distribution;
mod error;
mod gatekeeper;
pub mod gatekeeper_output;
mod job_runs;
mod parallel;
mod schedules;
pub mod simulation;
mod table;
mod verdict;
mod versions;

pub use addresses::free_addresses;
pub use distribution::Distribution;
pub use error::Error;
pub use fault_harness::test_directory::TestDirectory;
pub use fault_harness::wait::STEP_TIMEOUT;
pub use gatekeeper::{Gatekeeper, release_build};
pub use job_runs::{JobRun, JobRuns};
pub use parallel::default_parallelism;
pub use schedules::{ScheduleTotals, run_schedule, run_schedules};
pub use table::{Table, milliseconds, seconds_or_infinity};
pub use verdict::Verdict;
pub use versions::{SoleVersion, accepted_version, sole_version};
