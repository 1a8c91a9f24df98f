//! The command line. The comments of options are the texts of `--help`.

use clap::{Args, Parser};
use std::path::PathBuf;
use system_tests::{default_parallelism, release_build};

/// A schedule that is shorter has no time for faults.
const MIN_LENGTH_MS: u64 = 2_000;

/// Several gatekeepers under injected faults: schedules that follow from seeds, and those with a name.
#[derive(Debug, Parser)]
#[command(name = "proof-faults", args_override_self = true)]
pub(crate) struct Options {
    /// The first seed
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub(crate) seed: u64,
    /// How many schedules follow from seeds, or how often the one of --replay is run
    #[arg(long, value_name = "N", default_value_t = 200)]
    pub(crate) schedules: usize,
    /// The length of schedules that follow from seeds, ms
    #[arg(long = "length", value_name = "MS", default_value_t = 10_000)]
    requested_length_ms: u64,
    /// How many run at a time; twice the cores, if nothing is given
    #[arg(long = "parallel", value_name = "N")]
    requested_parallelism: Option<usize>,
    /// Another build of the gatekeeper
    #[arg(long = "build", value_name = "PROGRAM")]
    other_build: Option<PathBuf>,
    /// Where the schedules that fail are kept, with their histories
    #[arg(long = "keep", value_name = "FOLDER")]
    requested_output_folder: Option<PathBuf>,
    /// Keep the histories of those that hold too
    #[arg(long = "keep-all")]
    pub(crate) saves_all: bool,
    /// Only those with a name that take 10 s at most, for CI
    #[arg(long)]
    pub(crate) short: bool,
    #[command(flatten)]
    pub(crate) file: FileOptions,
}

/// Schedules as files.
#[derive(Debug, Args)]
pub(crate) struct FileOptions {
    /// Run the schedule of a file
    #[arg(long, value_name = "FILE")]
    pub(crate) replay: Option<PathBuf>,
    /// Print the smallest part of a schedule that still fails
    #[arg(long, value_name = "FILE")]
    pub(crate) shrink: Option<PathBuf>,
    /// Print the file of a seed
    #[arg(long, value_name = "SEED")]
    pub(crate) print: Option<u64>,
}

impl Options {
    /// Returns the length of schedules from seeds.
    pub(crate) fn length_ms(&self) -> u64 {
        self.requested_length_ms.max(MIN_LENGTH_MS)
    }

    /// Returns how many schedules run at a time.
    pub(crate) fn parallelism(&self) -> usize {
        self.requested_parallelism.unwrap_or_else(default_parallelism).max(1)
    }

    /// Returns the build to test.
    pub(crate) fn build(&self) -> PathBuf {
        self.other_build.clone().unwrap_or_else(release_build)
    }

    /// Returns the folder for the schedules and histories of failures.
    pub(crate) fn output_folder(&self) -> PathBuf {
        let default = || std::env::temp_dir().join("snowfield-proof-faults");
        self.requested_output_folder.clone().unwrap_or_else(default)
    }
}

#[cfg(test)]
mod tests;
