//! Running and shrinking the schedules that the options select.

use crate::options::Options;
use crate::totals::Totals;
use fault_injection::history;
use fault_injection::runner::{RunResult, shrink};
use fault_injection::schedule::{Schedule, named_schedules};
use fault_injection::torn_writes::{TornWrites, truncate_at_each_byte};
use std::cmp::Reverse;
use std::fs::{self, File};
use std::io::{self, BufWriter};
use std::path::{Path, PathBuf};
use system_tests::{Error, run_schedule, run_schedules};

/// Maximum length of the schedules that run with `--short`.
const MAX_SHORT_LENGTH_MS: u64 = 10_000;
/// Maximum number of runs of each part of a schedule while it is shrunk, so that a part that fails in one of three runs counts as
/// failing.
const SHRINK_RUNS: usize = 3;

/// Runs schedules on one build and saves failed schedules with their histories.
pub(crate) struct Runner {
    options: Options,
    build: PathBuf,
}

impl Runner {
    pub(crate) fn new(options: Options) -> Self {
        let build = options.build();
        Self { options, build }
    }

    pub(crate) fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the schedules that the options select.
    pub(crate) fn schedules(&self) -> Result<Vec<Schedule>, Error> {
        let options = &self.options;
        if let Some(path) = &options.file.replay {
            return Ok(vec![read_schedule(path)?; options.schedules]);
        }
        let mut schedules = named_schedules();
        if options.short {
            schedules.retain(|schedule| schedule.length_ms <= MAX_SHORT_LENGTH_MS);
            return Ok(schedules);
        }
        // Long schedules start first, so that none of them runs alone at the end.
        schedules.sort_by_key(|schedule| Reverse(schedule.length_ms));
        let seeds = (0..options.schedules as u64).map(|index| options.seed + index);
        schedules.extend(seeds.map(|seed| Schedule::from_seed(seed, options.length_ms())));
        Ok(schedules)
    }

    /// Runs the schedules, several in parallel.
    pub(crate) fn run_all(&self, schedules: &[Schedule]) -> Totals {
        run_schedules(schedules, self.options.parallelism(), |index, schedule| self.run(index, schedule))
    }

    /// Runs a schedule in a folder whose name contains this index, so that parallel schedules use different folders.
    fn run(&self, index: usize, schedule: &Schedule) -> Result<RunResult, Error> {
        let result = run_schedule(schedule, &self.build, &format!("sf-rig-{index}"))?;
        if self.options.saves_all || !result.violations.is_empty() {
            self.save(schedule, &result)?;
        }
        Ok(result)
    }

    fn save(&self, schedule: &Schedule, result: &RunResult) -> Result<(), Error> {
        let folder = self.options.output_folder().join(schedule.name.replace([' ', ',', '/'], "-"));
        write_result(&folder, schedule, result).map_err(Error::file(&folder))?;
        println!("{}: kept in {}", schedule.name, folder.display());
        Ok(())
    }

    /// Returns the smallest part of a schedule that still fails.
    pub(crate) fn shrink(&self, schedule: &Schedule) -> Result<Schedule, Error> {
        shrink(schedule, |part| {
            for _ in 0..SHRINK_RUNS {
                if !self.run(0, part)?.violations.is_empty() {
                    return Ok(true);
                }
            }
            Ok(false)
        })
    }

    /// Starts a gatekeeper once for each byte at which its endpoint cache can be truncated.
    pub(crate) fn truncate_endpoint_cache(&self) -> Result<TornWrites, Error> {
        let folder = std::env::temp_dir().join(format!("sf-torn-{}", std::process::id()));
        let result = truncate_at_each_byte(&self.build, &folder, self.options.parallelism());
        let _ = fs::remove_dir_all(&folder);
        Ok(result?)
    }
}

fn write_result(folder: &Path, schedule: &Schedule, result: &RunResult) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    fs::write(folder.join("schedule.toml"), schedule.to_toml())?;
    let mut file = BufWriter::new(File::create(folder.join("history.jsonl"))?);
    history::write(&result.history, &mut file)
}

pub(crate) fn read_schedule(path: &Path) -> Result<Schedule, Error> {
    let text = fs::read_to_string(path).map_err(Error::file(path))?;
    Schedule::parse(&text).map_err(|source| Error::ScheduleFile { path: path.to_owned(), source })
}
