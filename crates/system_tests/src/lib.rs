//! System tests: measurements that start real gatekeepers, most through the fault-injection harness.
//!
//! Each program `proof-NAME` starts the release build that lies beside it, prints a table and a last line `proof NAME: ...`, and
//! ends with 1 where a figure is out of bounds.

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
pub use fault_injection::test_directory::TestDirectory;
pub use fault_injection::wait::STEP_TIMEOUT;
pub use gatekeeper::{Gatekeeper, release_build};
pub use job_runs::{JobRun, JobRuns};
pub use parallel::default_parallelism;
pub use schedules::{ScheduleTotals, run_schedule, run_schedules};
pub use table::{Table, milliseconds, percentile, seconds, seconds_or_infinity};
pub use verdict::Verdict;
pub use versions::{SoleVersion, accepted_version, sole_version};
