//! Whether two builds of the program work together: `proof-compatibility OLD [NEW]`.
//!
//! Under load on the rig, with the stand-ins of the other proofs:
//!
//! 1. the platform's form is upgraded in service from the old build to the new one and back, several times;
//! 2. the appliance's form is killed and started again from its disks, each time by the other build: replicas' logs, and the
//!    cached endpoint list while Consul does not answer;
//! 3. half of a cluster runs the old build and half the new one.
//!
//! Ends with 1 where a rule is broken or a figure is out of bounds, and with 2 where it is called wrongly.

use fault_injection::builds::Builds;
use fault_injection::history::{Observation, Outcome, Record};
use fault_injection::runner::{RunResult, run as run_schedule};
use fault_injection::schedule::{FailureMode, Fault, FaultKind, Form, Schedule, SiteOptions};
use fault_injection::site::JOB_PERIOD_MS;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use system_tests::{Table, program};

const USAGE: &str =
    "proof-compatibility OLD [NEW]: two builds of snowfield; NEW is the release build beside this program";
/// Exit code where the call is wrong.
const WRONG_CALL: u8 = 2;

/// In-service upgrades of each program, the first from the old build to the new one.
const UPGRADES: u64 = 6;
const UPGRADED_PROGRAMS: usize = 2;
/// ms between two upgrades of a program.
const UPGRADE_EVERY: u64 = 2_000;
/// ms that the old program of an upgrade lives beside the new one that serves.
const SIDE_BY_SIDE: u64 = 600;
/// What the log of a program says that has given its clients to its successor.
const GAVE_WAY: &str = "another program serves now";
/// What the log of a successor says that could take over nothing, or not all.
const STARTED_ALONE: &str = "starting without it";

const RESTARTED_PROGRAMS: usize = 5;
/// ms: when all programs are killed, to start by the other build.
const RESTARTS: [u64; 2] = [6_000, 13_000];
/// ms that Consul stays away after a restart.
const CONSUL_AWAY: u64 = 3_000;

const MIXED_PROGRAMS: usize = 6;
const MIXED_JOBS: usize = 8;
const MIXED_LENGTH: u64 = 14_000;
/// us after which all periodic jobs of the mixed cluster run.
const JOBS_RUN_AFTER: u64 = 4_000_000;

/// The two builds.
struct Pair {
    old: PathBuf,
    new: PathBuf,
}

fn fault(at_ms: u64, for_ms: u64, kind: FaultKind) -> Fault {
    Fault { start_ms: at_ms, duration_ms: for_ms, kind }
}

fn propose(at_ms: u64, who: &str, rate: f64) -> Fault {
    fault(at_ms, 0, FaultKind::VersionProposed { target: who.into(), units_per_second: rate })
}

fn play_course(schedule: &Schedule, builds: Builds, table: &mut Table) -> Result<RunResult, String> {
    let folder = std::env::temp_dir().join(format!("sf-compat-{}", std::process::id()));
    let done = run_schedule(schedule, builds, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    let played = done.map_err(|why| format!("{}: {why}", schedule.name))?;
    for violation in &played.violations {
        table.at_most(
            &format!("{}: broken: {}: {}", schedule.name, violation.rule, violation.text),
            1.0,
            0.0,
        );
    }
    table.at_most(&format!("{}: rules broken", schedule.name), played.violations.len() as f64, 0.0);
    Ok(played)
}

/// How often a line with this text was logged.
fn logged(history: &[Record], wanted: &str) -> usize {
    history
        .iter()
        .filter(|r| matches!(&r.observation, Observation::LogLine { text, .. } if text.contains(wanted)))
        .count()
}

fn upgrades(pair: &Pair, table: &mut Table) -> Result<u64, String> {
    let kind = || FaultKind::Upgrade { target: "*".into(), new_dies_after_us: None, old_dies_after_us: None };
    let schedule = Schedule {
        name: "upgrades".into(),
        seed: 1,
        form: Form::Platform,
        gatekeepers: UPGRADED_PROGRAMS,
        backends: 3,
        length_ms: UPGRADE_EVERY * (UPGRADES + 1),
        options: SiteOptions::default(),
        faults: (1..=UPGRADES).map(|n| fault(n * UPGRADE_EVERY, SIDE_BY_SIDE, kind())).collect(),
    };
    let builds = Builds::Alternating(pair.old.clone(), pair.new.clone());
    let played = play_course(&schedule, builds, table)?;
    let ends = |end| played.outcomes.get(&end).copied().unwrap_or(0);
    let all: u64 = played.outcomes.values().sum();
    table.tell("upgrades: requests", all);
    table.at_least("upgrades: requests served", ends(Outcome::Served) as f64, 500.0);
    table.tell("upgrades: requests rejected by quota", ends(Outcome::Rejected));
    let lost = ends(Outcome::Unanswered)
        + ends(Outcome::NotAccepted)
        + ends(Outcome::Foreign)
        + ends(Outcome::Failed);
    table.at_most("upgrades: requests lost or failed", lost as f64, 0.0);
    let taken_over = logged(&played.history, GAVE_WAY) as f64;
    let wanted = (UPGRADES as usize * UPGRADED_PROGRAMS) as f64;
    table.at_least("upgrades: in service, there and back", taken_over, wanted);
    let alone = logged(&played.history, STARTED_ALONE);
    table.at_most("upgrades: successors that took over nothing, or not all", alone as f64, 0.0);
    Ok(all)
}

/// The numbers of the versions that were proposed, in order; 0 where a proposal was not taken.
fn proposed(history: &[Record]) -> Vec<u64> {
    let number = |record: &Record| match &record.observation {
        Observation::VersionProposed { exit_code: code, output: said, .. } => {
            let number = said.strip_prefix("version ").and_then(|text| text.split(' ').next()?.parse().ok());
            Some(if *code == 0 { number.unwrap_or(0) } else { 0 })
        }
        _ => None,
    };
    history.iter().filter_map(number).collect()
}

/// Requests that were served between the end of a restart and Consul's return.
fn served_from_cached_list(history: &[Record], restart: usize) -> usize {
    let time = |wanted: &str, nth: usize| {
        let ends = history.iter().filter(
            |r| matches!(&r.observation, Observation::Fault { kind, begins: false, .. } if kind == wanted),
        );
        ends.map(|r| r.at_us).nth(nth).unwrap_or(u64::MAX)
    };
    let (from, to) = (time("killed", restart), time("consul silent", restart));
    let served = |r: &&Record| {
        matches!(r.observation, Observation::RequestEnded { outcome: Outcome::Served, .. })
            && from < r.at_us
            && r.at_us < to
    };
    history.iter().filter(served).count()
}

fn restarts(pair: &Pair, table: &mut Table) -> Result<u64, String> {
    let mut faults =
        vec![propose(4_000, "m4", 16.0), propose(10_500, "m3", 12.0), propose(17_500, "m0", 18.0)];
    for at in RESTARTS {
        faults.push(fault(at, 300, FaultKind::Killed { target: "*".into() }));
        faults.push(fault(
            at - 100,
            CONSUL_AWAY,
            FaultKind::Consul { target: "*".into(), mode: FailureMode::Silent },
        ));
    }
    faults.sort_by_key(|f| f.start_ms);
    let schedule = Schedule {
        name: "restarts".into(),
        seed: 1,
        form: Form::Appliance,
        gatekeepers: RESTARTED_PROGRAMS,
        backends: 3,
        length_ms: 20_000,
        options: SiteOptions { replicas: 3, ..SiteOptions::default() },
        faults,
    };
    let builds = Builds::Alternating(pair.old.clone(), pair.new.clone());
    let played = play_course(&schedule, builds, table)?;
    let versions = proposed(&played.history);
    table.tell("restarts: versions proposed, before, between and after", format!("{versions:?}"));
    let in_order = versions == [1, 2, 3];
    table.at_least("restarts: replicas went on from the other build's logs", f64::from(in_order), 1.0);
    for (restart, name) in ["old to new", "new to old"].into_iter().enumerate() {
        let served = served_from_cached_list(&played.history, restart);
        let what = format!("restarts: {name}: requests served from the cached list, Consul away");
        table.at_least(&what, served as f64, 20.0);
    }
    agreed(&played, "restarts", table);
    Ok(played.outcomes.values().sum())
}

fn agreed(played: &RunResult, name: &str, table: &mut Table) {
    let after = played.converged_after_ms.map_or("never".to_owned(), |ms| format!("{ms} ms"));
    table.tell(&format!("{name}: all agree after the last fault"), after);
}

/// The last version on which each program acts by a lease.
fn acted_on(history: &[Record]) -> BTreeMap<&str, u64> {
    let mut acts = BTreeMap::new();
    for record in history {
        let Observation::LogLine { process: who, fields, .. } = &record.observation else { continue };
        let number = |name: &str| fields.get(name).and_then(Value::as_u64);
        if let (Some(version), Some(0), Some(true)) =
            (number("version"), number("proposed"), fields.get("leased").and_then(Value::as_bool))
        {
            acts.insert(who.as_str(), version);
        }
    }
    acts
}

/// Runs of periodic jobs: how many there were, how many of these ran a period again, and by whom.
fn job_runs(history: &[Record]) -> (usize, usize, BTreeSet<&str>) {
    let begun = history.first().map_or(0, |r| r.at_us) + JOBS_RUN_AFTER;
    let (mut count, mut seen, mut by_whom) = (0, BTreeSet::new(), BTreeSet::new());
    for record in history {
        let Observation::JobRan { job: duty, run: round, instance: by } = &record.observation else {
            continue;
        };
        by_whom.insert(by.as_str());
        if record.at_us >= begun {
            count += 1;
            seen.insert((duty.as_str(), *round));
        }
    }
    (count, count - seen.len(), by_whom)
}

fn is_old(program: &str) -> bool {
    program.strip_prefix('m').and_then(|n| n.parse::<usize>().ok()).is_some_and(|n| n.is_multiple_of(2))
}

fn mixed(pair: &Pair, table: &mut Table) -> Result<u64, String> {
    let schedule = Schedule {
        name: "mixed".into(),
        seed: 1,
        form: Form::Appliance,
        gatekeepers: MIXED_PROGRAMS,
        backends: 3,
        length_ms: MIXED_LENGTH,
        options: SiteOptions {
            replicas: 3,
            jobs: MIXED_JOBS,
            standbys: MIXED_PROGRAMS - 1,
            ..SiteOptions::default()
        },
        faults: vec![propose(5_000, "m4", 16.0), propose(8_000, "m5", 12.0)],
    };
    let builds = Builds::ByGatekeeper(pair.old.clone(), pair.new.clone());
    let played = play_course(&schedule, builds, table)?;
    // The course begins once all see all others alive; without that a rule is broken.
    agreed(&played, "mixed", table);
    let (runs, twice, by_whom) = job_runs(&played.history);
    let length_ms = MIXED_LENGTH - JOBS_RUN_AFTER / 1_000;
    let expected = MIXED_JOBS as f64 * length_ms as f64 / JOB_PERIOD_MS as f64;
    table.at_least("mixed: runs of periodic jobs", runs as f64, 0.95 * expected);
    table.at_most("mixed: runs of a period that had run", twice as f64, 0.0);
    let old = by_whom.iter().filter(|who| is_old(who)).count();
    table.at_least("mixed: instances of the old build that ran jobs", old as f64, 1.0);
    table.at_least("mixed: instances of the new build that ran jobs", (by_whom.len() - old) as f64, 1.0);
    let acts = acted_on(&played.history);
    let reached = acts.values().filter(|version| **version == 2).count();
    table.tell("mixed: versions proposed, by each build", format!("{:?}", proposed(&played.history)));
    table.at_least("mixed: instances that act on the last version", reached as f64, MIXED_PROGRAMS as f64);
    Ok(played.outcomes.values().sum())
}

/// The builds that are named; `None` where the call is wrong.
fn called_with(words: &[String]) -> Option<Pair> {
    let (old, new) = match words {
        [old] => (PathBuf::from(old), program()),
        [old, new] => (PathBuf::from(old), PathBuf::from(new)),
        _ => return None,
    };
    let named = |path: &Path| path.is_file() && path.file_name() == old.file_name();
    (named(&old) && named(&new)).then(|| Pair { old: old.clone(), new })
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let Some(pair) = called_with(&words) else {
        eprintln!("{USAGE}");
        return ExitCode::from(WRONG_CALL);
    };
    let mut table = Table::default();
    let done = upgrades(&pair, &mut table).and_then(|in_upgrades| {
        let in_restarts = restarts(&pair, &mut table)?;
        Ok(in_upgrades + in_restarts + mixed(&pair, &mut table)?)
    });
    let fine = table.print();
    match done {
        Ok(ref requests) => {
            let verdict = if fine { "all within bounds" } else { "OUT OF BOUNDS" };
            println!("proof compatibility: {requests} requests, {verdict}");
        }
        Err(ref why) => println!("proof compatibility: {why}: OUT OF BOUNDS"),
    }
    if fine && done.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
