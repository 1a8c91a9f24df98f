//! Several real gatekeepers under injected faults: schedules from seeds and by name, several at a time, each judged by the
//! harness's checkers.

mod options;
mod totals;

use clap::Parser;
use fault_injection::history;
use fault_injection::runner::{RunResult, shrink};
use fault_injection::schedule::{Schedule, named_schedules};
use fault_injection::sync::lock;
use fault_injection::torn_writes::{TornWrites, truncate_at_each_byte};
use options::Options;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use system_tests::{Error, Table, Verdict, for_each_parallel, run_schedule};
use totals::{Totals, print_violations};

/// The longest schedule of a short run.
const SHORT_MS: u64 = 10_000;
/// A schedule that is shrunk is run so often: what fails one time in a few counts as well.
const SHRINK_RUNS: usize = 3;

/// Runs schedules and keeps what failures leave.
struct Runner {
    options: Options,
    build: PathBuf,
}

impl Runner {
    fn new(options: Options) -> Self {
        let build = options.build();
        Self { options, build }
    }

    /// Runs one schedule in a folder that no other schedule uses.
    fn run(&self, number: usize, schedule: &Schedule) -> Result<RunResult, Error> {
        let result = run_schedule(schedule, &self.build, &format!("sf-rig-{number}"))?;
        if self.options.keep_all || !result.violations.is_empty() {
            self.keep(schedule, &result)?;
        }
        Ok(result)
    }

    /// Keeps a schedule and its history.
    fn keep(&self, schedule: &Schedule, result: &RunResult) -> Result<(), Error> {
        let folder = self.options.keep_folder().join(schedule.name.replace([' ', ',', '/'], "-"));
        let write = || -> std::io::Result<()> {
            std::fs::create_dir_all(&folder)?;
            std::fs::write(folder.join("schedule.toml"), schedule.to_toml())?;
            let mut file = std::io::BufWriter::new(std::fs::File::create(folder.join("history.jsonl"))?);
            history::write(&result.history, &mut file)
        };
        write().map_err(Error::file(&folder))?;
        println!("{}: kept in {}", schedule.name, folder.display());
        Ok(())
    }

    /// The smallest part of a schedule that still fails.
    fn shrink(&self, schedule: &Schedule) -> Result<Schedule, Error> {
        shrink(schedule, |schedule| {
            for _ in 0..SHRINK_RUNS {
                if !self.run(0, schedule)?.violations.is_empty() {
                    return Ok(true);
                }
            }
            Ok(false)
        })
    }

    /// Truncates the file that a gatekeeper writes at each byte.
    fn torn_writes(&self) -> Result<TornWrites, Error> {
        let folder = std::env::temp_dir().join(format!("sf-torn-{}", std::process::id()));
        let done = truncate_at_each_byte(&self.build, &folder, self.options.parallel());
        let _ = std::fs::remove_dir_all(&folder);
        Ok(done?)
    }

    fn schedules(&self) -> Result<Vec<Schedule>, Error> {
        let options = &self.options;
        if let Some(path) = &options.file.replay {
            return Ok(vec![read_schedule(path)?; options.schedules]);
        }
        let mut named = named_schedules();
        if options.short {
            named.retain(|schedule| schedule.length_ms <= SHORT_MS);
            return Ok(named);
        }
        // The long ones first, so that none of them is left alone at the end.
        named.sort_by_key(|schedule| std::cmp::Reverse(schedule.length_ms));
        let seeds = (0..options.schedules as u64).map(|i| options.seed + i);
        let generated = seeds.map(|seed| Schedule::from_seed(seed, options.length_ms()));
        Ok(named.into_iter().chain(generated).collect())
    }

    /// Runs all schedules.
    fn run_all(&self, schedules: &[Schedule]) -> Totals {
        let totals = Mutex::new(Totals::default());
        for_each_parallel(schedules, self.options.parallel(), |number, schedule| {
            let done = self.run(number, schedule);
            let mut totals = lock(&totals);
            match done {
                Ok(result) => totals.add(schedule, &result),
                Err(error) => {
                    println!("{}: {error}", schedule.name);
                    totals.add_failure(schedule);
                }
            }
        });
        totals.into_inner().unwrap_or_default()
    }
}

fn read_schedule(path: &Path) -> Result<Schedule, Error> {
    let text = std::fs::read_to_string(path).map_err(Error::file(path))?;
    Schedule::parse(&text).map_err(|source| Error::ScheduleFile { path: path.to_owned(), source })
}

/// Carries out the command line.
fn run(options: Options) -> Result<Verdict, Error> {
    let runner = Runner::new(options);
    let options = &runner.options;
    if let Some(seed) = options.file.print {
        print!("{}", Schedule::from_seed(seed, options.length_ms()).to_toml());
        return Ok(Verdict::WithinBounds);
    }
    if let Some(path) = &options.file.shrink {
        print!("{}", runner.shrink(&read_schedule(path)?)?.to_toml());
        return Ok(Verdict::WithinBounds);
    }
    let schedules = runner.schedules()?;
    let mut totals = runner.run_all(&schedules);
    let torn_writes = match options.file.replay {
        Some(_) => None,
        None => Some(runner.torn_writes()?),
    };
    let mut table = Table::default();
    totals.report_runs(&mut table, schedules.len(), options.parallel());
    if let Some(TornWrites { starts, violations }) = &torn_writes {
        print_violations("file", violations);
        table.add("starts with the list file cut at each byte", starts);
        table.add_with_maximum("... that went wrong", violations.len() as f64, 0.0);
    }
    totals.report_failures(&mut table);
    let verdict = table.print();
    println!("proof faults: {}, {verdict}", totals.summary(schedules.len()));
    Ok(verdict)
}

fn main() -> ExitCode {
    let options = match Options::try_parse() {
        Ok(options) => options,
        Err(error) => {
            let _ = error.print();
            return ExitCode::FAILURE;
        }
    };
    match run(options) {
        Ok(verdict) => verdict.into(),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
