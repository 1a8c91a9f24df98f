//! `snowfield settings`: what staff does with the versions that the gatekeepers agree on. It speaks to the voters that a file
//! names, with that file's key.

use crate::appliance;
use clap::{Parser, Subcommand};
use config_node::{
    LeaseRequest, Message, Proposal, ProposalId, ProposalOutcome, ReplicaLog, RequestId, Version,
    VersionNumbers, VersionTexts,
};
use settings::appliance::{ApplianceConfig, ReplicationConfig, apply_version};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// All voters are tried for so long.
const MOST: Duration = Duration::from_secs(10);
/// One of them answers within this, or the next is asked.
const PATIENCE: Duration = Duration::from_secs(1);
/// Between two tries of all.
const PAUSE: Duration = Duration::from_millis(200);
/// Exit code where another change was taken instead.
const OTHER: u8 = 3;
/// Exit code where no majority of the voters answers.
const NOBODY: u8 = 4;

#[derive(Parser)]
#[command(name = "snowfield settings", disable_version_flag = true)]
/// Change the plans that the gatekeepers agree on.
///
/// FILE is an appliance's file with the table `agreed`. Exit codes: 0 done, 1 refused or not to be used, 3 another change was taken
/// instead, 4 no majority of the voters answers.
struct Words {
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Begin the log of the voter that FILE is for, once in its life
    Begin { file: PathBuf },
    /// Propose the plans in RULES as the next version
    Propose {
        file: PathBuf,
        rules: PathBuf,
        /// Only if this is the version in force
        #[arg(long)]
        expect: Option<u64>,
    },
    /// Show the version in force, and one that is proposed
    Show { file: PathBuf },
    /// Show which numbers RULES would change
    Diff { file: PathBuf, rules: PathBuf },
}

/// Does what the words say.
pub fn run(words: &[String]) -> ExitCode {
    // The first word stands for the program's name.
    let call = match Words::try_parse_from(words) {
        Ok(words) => words.call,
        Err(e) => {
            let _ = e.print();
            return ExitCode::from(u8::from(e.use_stderr()));
        }
    };
    let done = match call {
        Call::Begin { file } => begin(&file),
        Call::Propose { file, rules, expect } => propose(&file, &rules, expect),
        Call::Show { file } => show(&file),
        Call::Diff { file, rules } => diff(&file, &rules),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, text)) => {
            eprintln!("snowfield: {text}");
            ExitCode::from(code)
        }
    }
}

type Done = Result<(), (u8, String)>;

fn wrong(text: impl std::fmt::Display) -> (u8, String) {
    (1, text.to_string())
}

fn read(path: &Path) -> Result<(ApplianceConfig, ReplicationConfig), (u8, String)> {
    let file = appliance::check(path).map_err(wrong)?.file;
    let agreed = file
        .replication
        .clone()
        .ok_or_else(|| wrong(format!("{}: it has no table [agreed]", path.display())))?;
    Ok((file, agreed))
}

fn folder(path: &Path) -> &Path {
    path.parent().unwrap_or(Path::new("."))
}

fn begin(path: &Path) -> Done {
    let (_, agreed) = read(path)?;
    if agreed.listen.is_none() {
        return Err(wrong("this instance is no voter"));
    }
    let log = folder(path).join(&agreed.log);
    ReplicaLog::create(&log).map_err(wrong)?;
    println!("{}: the log is begun", log.display());
    Ok(())
}

/// A number that no other call has.
fn unique() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    now ^ u64::from(std::process::id()).rotate_left(40)
}

/// Sends a message to one voter after the other until one of them leads and answers.
fn say(
    path: &Path,
    message: &Message,
    is_answer: impl Fn(&Message) -> bool,
) -> Result<Message, (u8, String)> {
    let (file, agreed) = read(path)?;
    let keys = crate::duties::keys(&file, folder(path)).map_err(wrong)?;
    let end = Instant::now() + MOST;
    let mut last = String::new();
    while Instant::now() < end {
        for voter in &agreed.replicas {
            let fits = |m: &Message| {
                is_answer(m)
                    || matches!(m, Message::RedirectLeaseRequest { .. } | Message::RedirectProposal { .. })
            };
            match config_node::call(voter.address, &keys, message, PATIENCE, fits) {
                Ok(answer) if is_answer(&answer) => return Ok(answer),
                Ok(_) => last = format!("{} does not lead", voter.name),
                Err(e) => last = format!("{}: {e}", voter.name),
            }
        }
        std::thread::sleep(PAUSE);
    }
    Err((
        NOBODY,
        format!("no majority of the voters answers ({last}); nothing is changed, or it is not known whether"),
    ))
}

fn propose(path: &Path, rules: &Path, expect: Option<u64>) -> Done {
    let (file, _) = read(path)?;
    let text = std::fs::read_to_string(rules).map_err(|e| wrong(format!("{}: {e}", rules.display())))?;
    apply_version(&file, &text).map_err(|e| wrong(format!("{}: {e}", rules.display())))?;
    let proposed_by = std::env::var("USER").unwrap_or_else(|_| "somebody".into());
    let id = ProposalId(unique());
    // The same id each time: one whose answer was lost is taken once.
    let message = Message::Propose(Proposal { id, proposed_by, expected_version: expect, text });
    let answer =
        say(path, &message, |m| matches!(m, Message::ProposalOutcome { proposal, .. } if *proposal == id))?;
    let Message::ProposalOutcome { outcome, .. } = answer else {
        return Err(wrong("an answer that is none"));
    };
    match outcome {
        ProposalOutcome::Accepted(number) => {
            println!(
                "version {number} is proposed; it is in force when no gatekeeper acts on the one before alone"
            );
            Ok(())
        }
        ProposalOutcome::VersionConflict { in_force: number, proposed_by: by } => {
            Err((OTHER, format!("version {number}, by {by}, is in force; nothing is changed")))
        }
        ProposalOutcome::RolloutInProgress { version: number, proposed_by: by } => Err((
            OTHER,
            format!("version {number}, by {by}, is proposed and not yet in force; nothing is changed"),
        )),
        ProposalOutcome::TooLarge => Err(wrong("it is too large")),
        ProposalOutcome::Rejected(why) => Err(wrong(why)),
    }
}

/// The version in force and the proposed one.
fn versions(path: &Path) -> Result<VersionTexts, (u8, String)> {
    let id = RequestId(unique());
    let request = Message::LeaseRequest(LeaseRequest {
        client: format!("console-{id}"),
        id,
        wants_lease: false,
        known_version: 0,
        cached: VersionNumbers::default(),
    });
    let answer = say(path, &request, |m| matches!(m, Message::LeaseResponse(..)))?;
    let Message::LeaseResponse(_, texts) = answer else { return Err(wrong("an answer that is none")) };
    Ok(*texts)
}

fn show(path: &Path) -> Done {
    let VersionTexts { in_force, proposed } = versions(path)?;
    let told = |what: &str, version: &Version| {
        println!(
            "# version {}, {what}, by {}\n{}",
            version.number,
            version.proposed_by,
            version.text.trim_end()
        );
    };
    match &in_force {
        Some(version) => told("in force", version),
        None => println!("# no version yet: each file's own plans are in force"),
    }
    if let Some(version) = &proposed {
        told("proposed", version);
    }
    Ok(())
}

fn diff(path: &Path, rules: &Path) -> Done {
    let (file, _) = read(path)?;
    let text = std::fs::read_to_string(rules).map_err(|e| wrong(format!("{}: {e}", rules.display())))?;
    let new = apply_version(&file, &text).map_err(wrong)?;
    let in_force = versions(path)?.in_force;
    let old = match &in_force {
        Some(version) => apply_version(&file, &version.text).map_err(wrong)?,
        None => file.plans.clone(),
    };
    for (old, new) in old.iter().zip(&new) {
        let numbers = [
            ("units_per_second", old.units_per_second, new.units_per_second),
            ("burst", old.burst, new.burst),
            ("ceiling_per_second", old.ceiling_per_second, new.ceiling_per_second),
            ("ceiling_burst", old.ceiling_burst, new.ceiling_burst),
        ];
        for (name, before, after) in numbers.into_iter().filter(|(_, before, after)| before != after) {
            println!("plan {}: {name} {before} -> {after}", old.name);
        }
    }
    Ok(())
}
