//! The gatekeeper: wires the parts, answers signals and writes the log.

mod agreed;
mod appliance;
mod clock;
mod console;
mod desk;
mod door;
mod duties;
mod fleet;
mod held;
mod hosts;
mod log;
mod platform;
mod propose;
mod signals;
mod upgrade;

use std::process::ExitCode;

fn main() -> ExitCode {
    if seeded_faults::BUILD {
        eprintln!("snowfield: this build breaks a rule on purpose; it serves nobody");
    }
    if seeded_faults::breaks("exits") {
        std::thread::spawn(|| {
            std::thread::sleep(std::time::Duration::from_secs(5));
            std::process::exit(0);
        });
    }
    let words: Vec<String> = std::env::args().skip(1).collect();
    let done = match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        // What the platform starts.
        [] => platform::run(),
        ["serve", file] => appliance::serve(file.as_ref()),
        ["check", file] => console::check(file.as_ref()),
        ["routes", file] => console::routes(file.as_ref()),
        ["explain", file, method, path] => console::explain(file.as_ref(), method, path),
        ["status", file] => console::status(file.as_ref()),
        ["watch", file] => console::watch(file.as_ref()),
        ["settings", ..] => return propose::run(&words),
        ["help" | "--help" | "-h"] => {
            print!("{}", console::USAGE);
            Ok(())
        }
        ["--version" | "-V"] => {
            println!("snowfield {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        _ => Err(format!("these arguments mean nothing\n{}", console::USAGE)),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("snowfield: {text}");
            ExitCode::FAILURE
        }
    }
}
