//! The command line.

use std::ops::Range;
use std::path::PathBuf;
use system_tests::release_build;

const DEFAULT_SCHEDULES: u64 = 200;
const DEFAULT_FIRST_SEED: u64 = 1;

/// The command line. A number that cannot be parsed is replaced by its default.
pub(crate) struct Arguments {
    /// The number of generated schedules.
    schedules: u64,
    /// The seed of the first generated schedule.
    first_seed: u64,
    /// Path of the build to test: the release build by default, or for example a build with a seeded fault.
    pub(crate) build: PathBuf,
}

impl Arguments {
    pub(crate) fn from_command_line() -> Self {
        let mut arguments = std::env::args().skip(1);
        let mut number = || arguments.next().and_then(|text| text.parse().ok());
        Self {
            schedules: number().unwrap_or(DEFAULT_SCHEDULES),
            first_seed: number().unwrap_or(DEFAULT_FIRST_SEED),
            build: arguments.next().map_or_else(release_build, PathBuf::from),
        }
    }

    /// Returns the seeds of the generated schedules.
    pub(crate) fn seeds(&self) -> Range<u64> {
        self.first_seed..self.first_seed + self.schedules
    }
}
