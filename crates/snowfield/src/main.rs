//! The gatekeeper: wires the parts, answers signals and writes the log.

mod clock;
mod hosts;
mod platform;

use std::process::ExitCode;

fn main() -> ExitCode {
    match platform::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("snowfield: {text}");
            ExitCode::FAILURE
        }
    }
}
