//! The command line.

use clap::{Args, Parser};
use std::path::PathBuf;
use system_tests::release_build;

/// A shorter schedule has no room for faults.
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
    #[arg(long, value_name = "MS", default_value_t = 10_000)]
    length: u64,
    /// How many run at a time; twice the cores, if nothing is given
    #[arg(long, value_name = "N")]
    parallel: Option<usize>,
    /// Another build of the gatekeeper
    #[arg(long, value_name = "PROGRAM")]
    build: Option<PathBuf>,
    /// Where the schedules that fail are kept, with their histories
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// Keep the histories of those that hold too
    #[arg(long)]
    pub(crate) keep_all: bool,
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
    pub(crate) fn length_ms(&self) -> u64 {
        self.length.max(MIN_LENGTH_MS)
    }

    pub(crate) fn parallel(&self) -> usize {
        // A site is a dozen processes that mostly wait.
        let default = || 2 * std::thread::available_parallelism().map_or(1, |cores| cores.get());
        self.parallel.unwrap_or_else(default).max(1)
    }

    /// The build that is tested.
    pub(crate) fn build(&self) -> PathBuf {
        self.build.clone().unwrap_or_else(release_build)
    }

    /// Where schedules and histories are kept.
    pub(crate) fn keep_folder(&self) -> PathBuf {
        self.keep.clone().unwrap_or_else(|| std::env::temp_dir().join("snowfield-proof-faults"))
    }
}

#[cfg(test)]
mod tests;
