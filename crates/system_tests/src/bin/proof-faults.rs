//! Several real programs under injected faults: schedules from seeds and by name, played several at a time, each judged by
//! the rig's checkers.

use fault_injection::checkers::Violation;
use fault_injection::history;
use fault_injection::network::Traffic;
use fault_injection::runner::{RunResult, run as run_schedule, shrink};
use fault_injection::schedule::{Schedule, named_schedules};
use fault_injection::torn_writes::{TornWrites, truncate_at_each_byte};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use system_tests::{Table, each_of, percentile, program};

const USAGE: &str = "\
proof-faults [--seed N] [--schedules N] [--length MS] [--parallel N] [--build PROGRAM] [--keep FOLDER]
                    schedules that follow from N and the seeds behind it, and those with a name
                    --keep-all keeps the histories of those that hold too
proof-faults --short          those with a name that take 10 s at most, for CI
proof-faults --replay FILE    one from a file, as often as --schedules says
proof-faults --shrink FILE    the smallest part of it that still fails
proof-faults --print N        the file of a seed
";

/// What the command line asks.
struct Asked {
    seed: u64,
    schedules: usize,
    length: u64,
    parallel: usize,
    build: PathBuf,
    /// Where histories of schedules that fail go.
    keep: PathBuf,
    /// Those of schedules that hold too.
    keep_all: bool,
    short: bool,
    replay: Option<PathBuf>,
    shrink: Option<PathBuf>,
    print: Option<u64>,
}

fn asked() -> Result<Asked, String> {
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let mut asked = Asked {
        seed: 1,
        schedules: 200,
        length: 10_000,
        // A site is a dozen programs that mostly wait.
        parallel: cores * 2,
        build: PathBuf::new(),
        keep: std::env::temp_dir().join("snowfield-proof-faults"),
        keep_all: false,
        short: false,
        replay: None,
        shrink: None,
        print: None,
    };
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        if word == "--short" || word == "--keep-all" {
            asked.short |= word == "--short";
            asked.keep_all |= word == "--keep-all";
            continue;
        }
        let value = words.next().ok_or(USAGE)?;
        let number = || value.parse::<u64>().map_err(|_| format!("{word}: {value:?} is no number"));
        match word.as_str() {
            "--seed" => asked.seed = number()?,
            "--schedules" => asked.schedules = number()? as usize,
            "--length" => asked.length = number()?.max(2_000),
            "--parallel" => asked.parallel = (number()? as usize).max(1),
            "--build" => asked.build = value.into(),
            "--keep" => asked.keep = value.into(),
            "--replay" => asked.replay = Some(value.into()),
            "--shrink" => asked.shrink = Some(value.into()),
            "--print" => asked.print = Some(number()?),
            _ => return Err(USAGE.into()),
        }
    }
    if asked.build.as_os_str().is_empty() {
        asked.build = program();
    }
    Ok(asked)
}

fn read(path: &Path) -> Result<Schedule, String> {
    let named = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    Schedule::parse(&std::fs::read_to_string(path).map_err(|e| named(&e))?).map_err(|e| named(&e))
}

/// Sums over all schedules.
#[derive(Default)]
struct Sums {
    faults: BTreeMap<String, u64>,
    ends: BTreeMap<String, u64>,
    agreed: Vec<f64>,
    traffic: Traffic,
    rules: BTreeMap<&'static str, u64>,
    failed: Vec<String>,
    seconds: f64,
}

impl Sums {
    fn add(&mut self, schedule: &Schedule, played: &RunResult) {
        for (kind, count) in &played.faults {
            *self.faults.entry(kind.clone()).or_default() += count;
        }
        for (end, count) in &played.outcomes {
            *self.ends.entry(end.name().to_owned()).or_default() += count;
        }
        self.agreed.extend(played.converged_after_ms.map(|ms| ms as f64 / 1_000.0));
        self.traffic += played.traffic;
        for violation in &played.violations {
            *self.rules.entry(violation.rule).or_default() += 1;
        }
        self.seconds += schedule.length_ms as f64 / 1_000.0;
    }
}

/// Plays one in a folder of its own and keeps what a failure leaves.
fn played(asked: &Asked, number: usize, schedule: &Schedule) -> Result<RunResult, String> {
    let folder = std::env::temp_dir().join(format!("sf-rig-{}-{number}", std::process::id()));
    let done = run_schedule(schedule, &asked.build, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    let played = done.map_err(|e| e.to_string())?;
    if asked.keep_all || !played.violations.is_empty() {
        let kept = asked.keep.join(schedule.name.replace([' ', ',', '/'], "-"));
        let write = || -> std::io::Result<()> {
            std::fs::create_dir_all(&kept)?;
            std::fs::write(kept.join("schedule.toml"), schedule.to_toml())?;
            let mut file = std::io::BufWriter::new(std::fs::File::create(kept.join("history.jsonl"))?);
            history::write(&played.history, &mut file)
        };
        write().map_err(|e| format!("{}: {e}", kept.display()))?;
        println!("{}: kept in {}", schedule.name, kept.display());
    }
    Ok(played)
}

fn tell(name: &str, violations: &[Violation]) {
    for violation in violations.iter().take(5) {
        println!("{name}: {}: {}", violation.rule, violation.text);
    }
    if violations.len() > 5 {
        println!("{name}: and {} more", violations.len() - 5);
    }
}

/// The file that a program keeps, cut at each byte.
fn torn(asked: &Asked) -> Result<TornWrites, String> {
    let folder = std::env::temp_dir().join(format!("sf-torn-{}", std::process::id()));
    let done = truncate_at_each_byte(&asked.build, &folder, asked.parallel);
    let _ = std::fs::remove_dir_all(&folder);
    done.map_err(|e| e.to_string())
}

fn run() -> Result<bool, String> {
    let asked = asked()?;
    if let Some(seed) = asked.print {
        print!("{}", Schedule::from_seed(seed, asked.length).to_toml());
        return Ok(true);
    }
    if let Some(path) = &asked.shrink {
        // What fails one time in a few is tried so often before it counts as well.
        let fails = |schedule: &Schedule| -> Result<bool, String> {
            for _ in 0..3 {
                if !played(&asked, 0, schedule)?.violations.is_empty() {
                    return Ok(true);
                }
            }
            Ok(false)
        };
        print!("{}", shrink(&read(path)?, fails)?.to_toml());
        return Ok(true);
    }
    let schedules: Vec<Schedule> = match &asked.replay {
        Some(path) => vec![read(path)?; asked.schedules],
        None if asked.short => named_schedules().into_iter().filter(|s| s.length_ms <= 10_000).collect(),
        None => {
            let drawn =
                (0..asked.schedules as u64).map(|i| Schedule::from_seed(asked.seed + i, asked.length));
            // The long ones first, so that none of them is left alone at the end.
            let mut all = named_schedules();
            all.sort_by_key(|s| std::cmp::Reverse(s.length_ms));
            all.into_iter().chain(drawn).collect()
        }
    };
    let sums = Mutex::new(Sums::default());
    each_of(&schedules, asked.parallel, |number, schedule| {
        let done = played(&asked, number, schedule);
        let mut sums = sums.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match done {
            Ok(played) => {
                tell(&schedule.name, &played.violations);
                if !played.violations.is_empty() {
                    sums.failed.push(schedule.name.clone());
                }
                sums.add(schedule, &played);
            }
            Err(why) => {
                println!("{}: {why}", schedule.name);
                sums.failed.push(schedule.name.clone());
            }
        }
    });
    let mut sums = sums.into_inner().unwrap_or_default();
    let torn = match asked.replay {
        Some(_) => None,
        None => Some(torn(&asked)?),
    };
    sums.agreed.sort_by(f64::total_cmp);
    let mut table = Table::default();
    table.tell(
        "schedules",
        format!("{}, {:.0} s in all, {} at a time", schedules.len(), sums.seconds, asked.parallel),
    );
    for (kind, count) in &sums.faults {
        table.tell(&format!("fault: {kind}"), count);
    }
    for (end, count) in &sums.ends {
        table.tell(&format!("operations {end}"), count);
    }
    let Traffic { bytes, dropped_datagrams: dropped, resets } = sums.traffic;
    table.tell("megabytes carried by links", bytes / 1_000_000);
    table.tell("datagrams dropped, connections reset in the middle", format!("{dropped}, {resets}"));
    for (share, name) in [(0.5, "median"), (0.99, "99th percentile")] {
        table.tell(
            &format!("until all agree again, {name}, s"),
            format!("{:.2}", percentile(&sums.agreed, share)),
        );
    }
    // What each schedule is allowed is its checker's matter: 10 s, or an epoch of the counter that came back empty.
    table.tell(
        "until all agree again, worst, s",
        format!("{:.2}", sums.agreed.last().copied().unwrap_or(0.0)),
    );
    if let Some(torn) = &torn {
        tell("file", &torn.violations);
        table.tell("starts with the list file cut at each byte", torn.starts);
        table.at_most("... that went wrong", torn.violations.len() as f64, 0.0);
    }
    for (rule, count) in &sums.rules {
        table.at_most(&format!("broken: {rule}"), *count as f64, 0.0);
    }
    table.at_most("schedules that failed", sums.failed.len() as f64, 0.0);
    let fine = table.print();
    let faults: u64 = sums.faults.values().sum();
    let operations: u64 = sums.ends.values().sum();
    println!(
        "proof faults: {} schedules, {faults} faults, {operations} operations, {} violations, {}",
        schedules.len(),
        sums.rules.values().sum::<u64>(),
        if fine { "all within bounds" } else { "OUT OF BOUNDS" }
    );
    Ok(fine)
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(text) => {
            eprintln!("{text}");
            ExitCode::FAILURE
        }
    }
}
