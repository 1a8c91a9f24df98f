//! The replicated configuration on real gatekeepers under injected faults: which version each acted on and when, by its own log
//! with the machine's clock, and how long a change takes. `proof-replicated-config [SCHEDULES [FIRST_SEED [BUILD]]]`.

mod schedules;
mod totals;

use fault_injection::schedule::Schedule;
use fault_injection::sync::lock;
use schedules::{generated_schedule, named_schedules};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use system_tests::{Table, for_each_parallel, release_build, run_schedule};
use totals::Totals;

const DEFAULT_SCHEDULES: u64 = 200;

fn main() -> ExitCode {
    let argument = |position: usize| std::env::args().nth(position);
    let number = |position: usize| argument(position).and_then(|text| text.parse::<u64>().ok());
    let (count, first_seed) = (number(1).unwrap_or(DEFAULT_SCHEDULES), number(2).unwrap_or(1));
    // Another build, as one with a seeded fault.
    let build = argument(3).map_or_else(release_build, PathBuf::from);
    let generated = (first_seed..first_seed + count).map(generated_schedule);
    let schedules: Vec<Schedule> = named_schedules().into_iter().chain(generated).collect();
    let totals = Mutex::new(Totals::default());
    let parallel = 2 * std::thread::available_parallelism().map_or(1, |cores| cores.get());
    for_each_parallel(&schedules, parallel, |index, schedule| {
        let result = run_schedule(schedule, &build, &format!("sf-agreed-{index}"));
        let mut totals = lock(&totals);
        match result {
            Ok(result) => totals.add(schedule, &result),
            Err(error) => {
                println!("{}: {error}", schedule.name);
                totals.add_failure(schedule);
            }
        }
    });
    let mut table = Table::default();
    let totals = totals.into_inner().unwrap_or_default();
    let summary = totals.report(&mut table, schedules.len());
    let verdict = table.print();
    println!("proof agreed: {summary}, {verdict}");
    verdict.into()
}
