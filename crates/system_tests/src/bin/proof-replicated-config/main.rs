//! Tests the replicated configuration on real gatekeepers under injected faults:
//! `proof-replicated-config [SCHEDULES [FIRST_SEED [BUILD]]]`.
//!
//! Each gatekeeper logs, with a time of the machine's clock, which version of the configuration it applies. From these log events
//! the program calculates for how long gatekeepers apply versions that contradict each other, and how long a roll-out takes.

mod arguments;
mod rollouts;
mod schedules;
mod totals;

use arguments::Arguments;
use fault_injection::schedule::Schedule;
use schedules::{generated_schedule, named_schedules};
use std::process::ExitCode;
use system_tests::{Table, default_parallelism, run_schedule, run_schedules};
use totals::Totals;

fn main() -> ExitCode {
    let arguments = Arguments::from_command_line();
    let mut schedules = named_schedules();
    schedules.extend(arguments.seeds().map(generated_schedule));
    let totals = run_all(&schedules, &arguments);
    report(&totals, schedules.len())
}

fn run_all(schedules: &[Schedule], arguments: &Arguments) -> Totals {
    run_schedules(schedules, default_parallelism(), |index, schedule| {
        Ok(run_schedule(schedule, &arguments.build, &format!("sf-agreed-{index}"))?)
    })
}

/// Prints the table and the last line.
fn report(totals: &Totals, schedules: usize) -> ExitCode {
    let mut table = Table::default();
    totals.add_to(&mut table, schedules);
    let verdict = table.print();
    println!("proof agreed: {}, {verdict}", totals.summary(schedules));
    verdict.into()
}
