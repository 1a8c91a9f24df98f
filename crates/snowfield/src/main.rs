//! The gatekeeper's binary: command line, startup, signals and graceful shutdown, hot restart, and the admin service.
//!
//! [`platform`] runs a gatekeeper on the platform, [`appliance`] one with the OpenAPI front. Both wire together the packages that
//! do the work. [`error`] has the errors of all commands; only `main` turns them into text and an exit code.

mod admin_listener;
mod admin_service;
mod appliance;
mod backends;
mod backoff;
mod checked_config;
mod cluster_settings;
mod command_line;
mod console;
mod consul_watches;
mod endpoint_ids;
mod error;
mod hot_restart;
mod log;
mod operator_ejections;
mod plan_replication;
mod platform;
mod settings_command;
mod signals;
mod start_retry;
mod timer_thread;

use command_line::{Command, CommandLine};
use error::Error;
use std::process::ExitCode;
use std::time::Duration;

/// Time from the start to the exit that the seeded fault `exits` causes.
const SEEDED_EXIT_AFTER: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    start_seeded_faults();
    let command = match CommandLine::parse() {
        Ok(command) => command,
        Err(exit) => return exit,
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("snowfield: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Platform => platform::run(),
        Command::Serve { file } => appliance::serve(&file),
        Command::Check { file } => console::check(&file),
        Command::Routes { file } => console::routes(&file),
        Command::Explain { file, method, path } => console::explain(&file, &method, &path),
        Command::Status { file } => console::status(&file),
        Command::Watch { file } => console::watch(&file),
        Command::Settings { command } => settings_command::run(&command),
    }
}

/// Announces a build with seeded faults on standard error, and starts the fault `exits`; see the package `seeded_faults`.
fn start_seeded_faults() {
    if seeded_faults::ENABLED {
        eprintln!("snowfield: this build breaks a rule on purpose; it serves nobody");
    }
    if seeded_faults::is_active("exits") {
        std::thread::spawn(|| {
            std::thread::sleep(SEEDED_EXIT_AFTER);
            std::process::exit(0);
        });
    }
}
