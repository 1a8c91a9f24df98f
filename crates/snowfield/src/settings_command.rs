//! `snowfield settings`: creates replica logs, and proposes, shows and compares versions of the replicated plans.

mod replicas;

use crate::checked_config::{CheckedConfig, directory, read_text};
use crate::command_line::SettingsCommand;
use crate::error::Error;
use config_node::{ProposalOutcome, ReplicaLog, Version, VersionTexts};
use replicas::Replicas;
use settings::appliance::{ApplianceConfig, PlanConfig, ReplicationConfig, apply_version};
use std::path::Path;

/// Runs a command on the replicated plans and prints its result.
///
/// # Errors
///
/// A file is missing or invalid, no majority of the replicas answers, or the replicas reject the proposal. The cases have
/// different exit codes; see [`Error::exit_code`].
pub fn run(command: &SettingsCommand) -> Result<(), Error> {
    match command {
        SettingsCommand::Begin { file } => create_log(file),
        SettingsCommand::Propose { file, rules, expect } => propose(file, rules, *expect),
        SettingsCommand::Show { file } => show(file),
        SettingsCommand::Diff { file, rules } => diff(file, rules),
    }
}

/// Reads a configuration file, which must have the table `agreed`.
fn read_config(path: &Path) -> Result<(ApplianceConfig, ReplicationConfig), Error> {
    let config = CheckedConfig::read(path)?.config;
    match config.replication.clone() {
        Some(replication) => Ok((config, replication)),
        None => Err(Error::MissingTable { path: path.to_owned(), table: "agreed" }),
    }
}

/// A file with plans to propose or to compare.
struct PlanFile {
    text: String,
    /// The plans of the configuration, after applying the changes in the file.
    plans: Vec<PlanConfig>,
}

fn read_plan_file(path: &Path, config: &ApplianceConfig) -> Result<PlanFile, Error> {
    let text = read_text(path)?;
    let plans = apply_version(config, &text).map_err(Error::settings(path))?;
    Ok(PlanFile { text, plans })
}

fn create_log(path: &Path) -> Result<(), Error> {
    let (_, replication) = read_config(path)?;
    if replication.listen.is_none() {
        return Err(Error::NotAReplica);
    }
    let log = directory(path).join(&replication.log);
    ReplicaLog::create(&log).map_err(Error::ReplicaLog)?;
    println!("{}: the log is begun", log.display());
    Ok(())
}

fn propose(path: &Path, rules: &Path, expected_version: Option<u64>) -> Result<(), Error> {
    let (config, replication) = read_config(path)?;
    let PlanFile { text, .. } = read_plan_file(rules, &config)?;
    let replicas = Replicas::new(&config, &replication, path)?;
    match replicas.propose(text, expected_version)? {
        ProposalOutcome::Accepted(version) => {
            println!(
                "version {version} is proposed; it is in force when no gatekeeper acts on the one before alone"
            );
            Ok(())
        }
        ProposalOutcome::VersionConflict { in_force, proposed_by } => {
            Err(Error::VersionConflict { version: in_force.0, proposed_by })
        }
        ProposalOutcome::RolloutInProgress { version, proposed_by } => {
            Err(Error::RolloutInProgress { version: version.0, proposed_by })
        }
        ProposalOutcome::TooLarge => Err(Error::ProposalTooLarge),
        ProposalOutcome::Rejected(reason) => Err(Error::ProposalRejected(reason.to_string())),
    }
}

fn show(path: &Path) -> Result<(), Error> {
    let (config, replication) = read_config(path)?;
    let VersionTexts { in_force, proposed } = Replicas::new(&config, &replication, path)?.versions()?;
    match &in_force {
        Some(version) => print_version(version, "in force"),
        None => println!("# no version yet: each file's own plans are in force"),
    }
    if let Some(version) = &proposed {
        print_version(version, "proposed");
    }
    Ok(())
}

fn print_version(version: &Version, state: &str) {
    let Version { number, proposed_by, text } = version;
    println!("# version {number}, {state}, by {proposed_by}\n{}", text.trim_end());
}

/// Prints the limits of plans that the file `rules` would change.
fn diff(path: &Path, rules: &Path) -> Result<(), Error> {
    let (config, replication) = read_config(path)?;
    let new_plans = read_plan_file(rules, &config)?.plans;
    let in_force = Replicas::new(&config, &replication, path)?.versions()?.in_force;
    let old_plans = match &in_force {
        Some(version) => apply_version(&config, &version.text).map_err(Error::settings(path))?,
        None => config.plans.clone(),
    };
    old_plans.iter().zip(&new_plans).for_each(|(old, new)| print_changes(old, new));
    Ok(())
}

fn print_changes(old: &PlanConfig, new: &PlanConfig) {
    let figures = [
        ("units_per_second", old.units_per_second, new.units_per_second),
        ("burst", old.burst, new.burst),
        ("ceiling_per_second", old.ceiling_per_second, new.ceiling_per_second),
        ("ceiling_burst", old.ceiling_burst, new.ceiling_burst),
    ];
    for (name, before, after) in figures.into_iter().filter(|(_, before, after)| before != after) {
        println!("plan {}: {name} {before} -> {after}", old.name);
    }
}
