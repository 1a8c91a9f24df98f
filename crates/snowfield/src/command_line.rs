//! The commands of the program and their arguments.

use clap::error::ErrorKind;
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Usage text of the help and of command line errors.
const USAGE: &str = "\
snowfield               serve on the platform, by the file that BALANCER_CONFIG names
       snowfield serve FILE    serve the OpenAPI descriptions that FILE names
       snowfield check FILE    check FILE and its descriptions
       snowfield routes FILE   list the routes with their units and classes
       snowfield explain FILE METHOD PATH
                               show the timing of a request and the course of its worst case
       snowfield status FILE   show the live status of the program that serves FILE
       snowfield watch FILE    show it again each second
       snowfield settings ...  change the plans that the gatekeepers agree on; \"snowfield settings help\" has more";

/// The parsed command line.
#[derive(Debug, Parser)]
#[command(name = "snowfield", version, about = "A gatekeeper that holds tenants to their quotas", override_usage = USAGE)]
pub struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

/// A command of the program.
#[derive(Debug, PartialEq, Eq, Subcommand)]
pub enum Command {
    /// Serve on the platform. The platform starts the program without arguments.
    #[command(skip)]
    Platform,
    /// Serve the OpenAPI descriptions that FILE names
    Serve {
        /// An appliance's file
        file: PathBuf,
    },
    /// Check FILE and its descriptions
    Check {
        /// An appliance's file
        file: PathBuf,
    },
    /// List the routes with their units and classes
    Routes {
        /// An appliance's file
        file: PathBuf,
    },
    /// Show the timing of a request and the course of its worst case
    Explain {
        /// An appliance's file
        file: PathBuf,
        /// The HTTP method
        method: String,
        /// The path
        path: String,
    },
    /// Show the live status of the program that serves FILE
    Status {
        /// An appliance's file
        file: PathBuf,
    },
    /// Show the live status again each second
    Watch {
        /// An appliance's file
        file: PathBuf,
    },
    /// Change the plans that the gatekeepers agree on
    ///
    /// FILE is an appliance's file with the table `agreed`. Exit codes: 0 done, 1 rejected or not to be used, 3 another change
    /// was taken instead, 4 no majority of the replicas answers.
    Settings {
        /// What to do.
        #[command(subcommand)]
        command: SettingsCommand,
    },
}

/// A command on the replicated plans.
#[derive(Debug, PartialEq, Eq, Subcommand)]
pub enum SettingsCommand {
    /// Create the log of the replica that FILE is for, once in its life
    Begin {
        /// The file of a replica
        file: PathBuf,
    },
    /// Propose the plans in RULES as the next version
    Propose {
        /// The file of any instance
        file: PathBuf,
        /// A file with plans
        rules: PathBuf,
        /// Only if this is the version in force
        #[arg(long)]
        expect: Option<u64>,
    },
    /// Show the version in force, and one that is proposed
    Show {
        /// The file of any instance
        file: PathBuf,
    },
    /// Show which figures RULES would change
    Diff {
        /// The file of any instance
        file: PathBuf,
        /// A file with plans
        rules: PathBuf,
    },
}

impl CommandLine {
    /// Parses the command of this process. Prints help, version and errors itself.
    ///
    /// # Errors
    ///
    /// The exit code, if there is no command to run: 0 after help or version, 1 after an error.
    pub fn parse() -> Result<Command, ExitCode> {
        match Self::try_parse() {
            Ok(line) => Ok(line.command.unwrap_or(Command::Platform)),
            Err(error) => {
                let is_help = error.kind() == ErrorKind::DisplayHelpOnMissingArgumentOrSubcommand;
                if error.use_stderr() && !is_help {
                    eprint!("snowfield: ");
                }
                // `print` fails if the reader of the output has closed its end.
                let _ = error.print();
                Err(ExitCode::from(u8::from(error.use_stderr())))
            }
        }
    }
}

#[cfg(test)]
mod tests;
