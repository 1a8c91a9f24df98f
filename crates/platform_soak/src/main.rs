//! `proof-soak`: runs schedules of overlapping faults on gatekeepers of the platform (`snowfield run`: RESP2 front with
//! discovery agent and quota counter) and checks the invariants. Exits with 1 if an invariant is violated, and with 2 if
//! the harness cannot run.

use clap::Parser;
use fault_harness::outcome::Outcome;
use fault_harness::test_directory::TestDirectory;
use fault_harness::violation::Violation;
use platform_soak::gatekeeper::Program;
use platform_soak::history::{History, ProcessEvent};
use platform_soak::run::run;
use platform_soak::schedule::{Fault, Schedule};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Maximum number of violations that are printed for one schedule.
const MAX_PRINTED: usize = 12;
/// Exit code if the harness cannot run.
const EXIT_CANNOT_RUN: u8 = 2;

/// Runs schedules of overlapping faults on real gatekeepers of the platform (`snowfield run`).
#[derive(Debug, Parser)]
struct Options {
    /// Number of schedules to run.
    #[arg(long, default_value_t = 20)]
    schedules: u64,
    /// Seed of the first schedule; each following schedule has the next higher seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of gatekeepers in each schedule.
    #[arg(long, default_value_t = 24)]
    gatekeepers: usize,
    /// Length of a schedule in seconds.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Path of the gatekeeper's binary; by default `snowfield` in the directory of this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Name of the seeded fault to enable in a build that has them; the run fails unless a checker reports a violation.
    #[arg(long)]
    seeded_fault: Option<String>,
    /// Runs the same sites and clients without injecting faults.
    #[arg(long, alias = "without-troubles")]
    without_faults: bool,
    /// Prints the faults and the process events of each schedule, also of those without violations.
    #[arg(long)]
    verbose: bool,
}

/// Counts over all schedules of a run.
#[derive(Default)]
struct Totals {
    schedules: usize,
    violations: usize,
    broken_schedules: usize,
    requests: usize,
    attempts: usize,
    processes: usize,
    faults: usize,
    by_rule: BTreeMap<&'static str, usize>,
}

impl Totals {
    fn add(&mut self, schedule: &Schedule, history: &History, violations: &[Violation]) {
        self.schedules += 1;
        self.violations += violations.len();
        self.broken_schedules += usize::from(!violations.is_empty());
        self.requests += history.requests.len();
        self.attempts += history.attempts.len();
        let is_start = |event: &ProcessEvent| matches!(event, ProcessEvent::Started { .. });
        self.processes += history.processes.iter().filter(|record| is_start(&record.event)).count();
        self.faults += schedule.faults.len();
        for violation in violations {
            *self.by_rule.entry(violation.rule).or_default() += 1;
        }
    }
}

/// The program to run; none if the gatekeeper or the preloaded library is not built.
fn find_program(options: &Options) -> Option<Program> {
    let default_path = std::env::current_exe().ok()?.with_file_name("snowfield");
    let path = options.program.clone().unwrap_or(default_path);
    let shim = fault_shim_control::library_path()?;
    path.exists().then_some(Program { path, shim, seeded_fault: options.seeded_fault.clone() })
}

fn print_schedule(schedule: &Schedule, history: &History, violations: &[Violation], is_verbose: bool) {
    let count =
        |outcome: Outcome| history.requests.iter().filter(|request| request.outcome == outcome).count();
    println!(
        "seed {}: {} requests ({} served, {} rejected, {} failed, {} left), {} attempts, {} violations",
        schedule.seed,
        history.requests.len(),
        count(Outcome::Served),
        count(Outcome::Rejected),
        count(Outcome::Failed),
        count(Outcome::Left),
        history.attempts.len(),
        violations.len()
    );
    if is_verbose || !violations.is_empty() {
        schedule.faults.iter().for_each(print_fault);
    }
    if is_verbose {
        history.processes.iter().for_each(|record| println!("    {record:?}"));
    }
    violations.iter().take(MAX_PRINTED).for_each(|violation| println!("  {violation}"));
    if violations.len() > MAX_PRINTED {
        println!("  and {} more", violations.len() - MAX_PRINTED);
    }
}

fn print_fault(fault: &Fault) {
    let (start, duration) = (fault.start.as_secs_f64(), fault.duration.as_secs_f64());
    println!("    {start:6.2} s, for {duration:.2} s: {:?}", fault.kind);
}

fn main() -> ExitCode {
    let options = Options::parse();
    let Some(program) = find_program(&options) else {
        eprintln!("proof-soak: the gatekeeper or the preloaded library is not built");
        return ExitCode::from(EXIT_CANNOT_RUN);
    };
    let mut totals = Totals::default();
    for seed in options.seed..options.seed + options.schedules {
        let length = Duration::from_secs(options.seconds);
        let mut schedule = Schedule::draw(seed, options.gatekeepers, length);
        if options.without_faults {
            schedule.faults.clear();
        }
        let directory = TestDirectory::new(&format!("soak-{seed}"));
        match run(&schedule, &program, directory.path()) {
            Ok(verdict) => {
                print_schedule(&schedule, &verdict.history, &verdict.violations, options.verbose);
                totals.add(&schedule, &verdict.history, &verdict.violations);
            }
            Err(error) => {
                eprintln!("proof-soak: seed {seed}: {error}");
                return ExitCode::from(EXIT_CANNOT_RUN);
            }
        }
    }
    for (rule, count) in &totals.by_rule {
        println!("{count:6}  {rule}");
    }
    println!(
        "proof soak: {} schedules, {} violations, in {} schedules; {} gatekeepers in each, {} processes, {} faults, {} requests, {} attempts",
        totals.schedules,
        totals.violations,
        totals.broken_schedules,
        options.gatekeepers,
        totals.processes,
        totals.faults,
        totals.requests,
        totals.attempts
    );
    let is_fault_detected = options.seeded_fault.is_some() && totals.violations > 0;
    let has_no_violation = options.seeded_fault.is_none() && totals.violations == 0;
    if is_fault_detected || has_no_violation { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
