//! Measures the processor time per request and the memory of the platform form: `proof-platform-cost [BUILD...]`.
//!
//! Each `BUILD` is the path of a `snowfield` program. Without arguments, the build in the folder of this program is measured. The
//! builds are measured in alternating turns, so that changes of the machine's speed affect all of them. The last build is
//! compared with the first one.

mod build_cost;
mod client;
mod config;
mod stand_ins;
mod turn;

use build_cost::BuildCost;
use stand_ins::StandIns;
use std::path::PathBuf;
use std::process::ExitCode;
use system_tests::{Table, release_build};
use turn::{CLIENTS, REQUESTS, measure_turn};

/// Number of turns of each build.
const TURNS: usize = 5;
/// Maximum processor time of the last build relative to the first one. Turns of the same build differ by up to a tenth.
const MAX_RATIO: f64 = 1.10;

fn main() -> ExitCode {
    let builds = builds_from_arguments();
    let costs = measure(&builds);
    report(&costs)
}

fn builds_from_arguments() -> Vec<PathBuf> {
    let builds: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    if builds.is_empty() { vec![release_build()] } else { builds }
}

/// Measures all builds in alternating turns.
fn measure(builds: &[PathBuf]) -> Vec<BuildCost> {
    let stand_ins = StandIns::start();
    let mut costs = vec![BuildCost::default(); builds.len()];
    for _ in 0..TURNS {
        for (build, cost) in builds.iter().zip(&mut costs) {
            cost.add(&measure_turn(build, &stand_ins));
        }
    }
    costs
}

/// Prints the table and the last line.
fn report(costs: &[BuildCost]) -> ExitCode {
    let mut table = Table::default();
    table.add("clients, requests of each, turns", format!("{CLIENTS}, {REQUESTS}, {TURNS}"));
    for (build, cost) in costs.iter().enumerate() {
        cost.add_to(&mut table, build);
    }
    let first_us = costs[0].median_cpu_us();
    let last_us = costs[costs.len() - 1].median_cpu_us();
    let ratio = last_us / first_us;
    table.add_with_maximum("the last build against the first", ratio, MAX_RATIO);
    let verdict = table.print();
    println!("proof platform-cost: {last_us:.1} us a request, {ratio:.2} of the first build, {verdict}");
    verdict.into()
}
