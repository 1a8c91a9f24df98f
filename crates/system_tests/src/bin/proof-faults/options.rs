//! The command line. The doc comments of the options are the texts that `--help` prints.

use clap::{Args, Parser};
use std::path::PathBuf;
use system_tests::{default_parallelism, release_build};

/// Minimum length of a generated schedule. A shorter one leaves no time for faults.
const MIN_LENGTH_MS: u64 = 2_000;

/// Runs several gatekeepers under injected faults, in schedules generated from seeds and in named schedules
#[derive(Debug, Parser)]
#[command(name = "proof-faults", args_override_self = true)]
pub(crate) struct Options {
    /// Seed of the first generated schedule
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub(crate) seed: u64,
    /// Number of generated schedules, or number of runs of the --replay schedule
    #[arg(long, value_name = "N", default_value_t = 200)]
    pub(crate) schedules: usize,
    /// Length of generated schedules in ms
    #[arg(long = "length", value_name = "MS", default_value_t = 10_000)]
    requested_length_ms: u64,
    /// Number of schedules that run in parallel [default: twice the number of cores]
    #[arg(long = "parallel", value_name = "N")]
    requested_parallelism: Option<usize>,
    /// Build of the gatekeeper to test [default: the release build beside this program]
    #[arg(long = "build", value_name = "PROGRAM")]
    other_build: Option<PathBuf>,
    /// Folder in which failed schedules and their histories are saved
    #[arg(long = "keep", value_name = "FOLDER")]
    requested_output_folder: Option<PathBuf>,
    /// Save the schedules and histories of successful runs too
    #[arg(long = "keep-all")]
    pub(crate) saves_all: bool,
    /// Run only the named schedules of at most 10 s, for CI
    #[arg(long)]
    pub(crate) short: bool,
    #[command(flatten)]
    pub(crate) file: FileOptions,
}

/// Options that read or print a single schedule.
#[derive(Debug, Args)]
pub(crate) struct FileOptions {
    /// Run only the schedule in this file
    #[arg(long, value_name = "FILE")]
    pub(crate) replay: Option<PathBuf>,
    /// Print the smallest part of the schedule in this file that still fails
    #[arg(long, value_name = "FILE")]
    pub(crate) shrink: Option<PathBuf>,
    /// Print the schedule that is generated from this seed
    #[arg(long, value_name = "SEED")]
    pub(crate) print: Option<u64>,
}

impl Options {
    /// Returns the length of generated schedules, which is at least [`MIN_LENGTH_MS`].
    pub(crate) fn length_ms(&self) -> u64 {
        self.requested_length_ms.max(MIN_LENGTH_MS)
    }

    /// Returns how many schedules run in parallel, which is at least one.
    pub(crate) fn parallelism(&self) -> usize {
        self.requested_parallelism.unwrap_or_else(default_parallelism).max(1)
    }

    /// Returns the path of the build to test.
    pub(crate) fn build(&self) -> PathBuf {
        self.other_build.clone().unwrap_or_else(release_build)
    }

    /// Returns the folder in which failed schedules and their histories are saved.
    pub(crate) fn output_folder(&self) -> PathBuf {
        let default = || std::env::temp_dir().join("snowfield-proof-faults");
        self.requested_output_folder.clone().unwrap_or_else(default)
    }
}

#[cfg(test)]
mod tests;
