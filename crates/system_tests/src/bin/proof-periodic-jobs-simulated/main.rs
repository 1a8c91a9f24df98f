//! Measures the state machines of shared periodic jobs in simulated time:
//! `proof-periodic-jobs-simulated [INSTANCES [GOSSIP_PERIOD_MS]]`.
//!
//! Clusters of 10 to 300 instances, with ten jobs per instance, lose a tenth of all datagrams. At the end of the measurement half
//! of the instances are killed. The table shows how the cost grows with the size of the cluster.

mod measurement;
mod memory;

use measurement::Measurement;
use std::process::ExitCode;
use system_tests::Table;
use system_tests::simulation::SimulationArguments;

/// Default cluster sizes. A cluster of 1,000 instances takes more than ten minutes, so it must be requested on the command line.
const SIZES: [usize; 4] = [10, 30, 100, 300];

fn main() -> ExitCode {
    let arguments = SimulationArguments::from_command_line();
    let sizes = arguments.sizes(&SIZES);
    println!("Gossip every {} ms.\n", arguments.gossip_period.as_millis());
    println!("{}", measurement::TABLE_HEAD);
    let mut table = Table::default();
    let mut max_repeated_runs = 0;
    for &instances in &sizes {
        let measurement = Measurement::run(instances, arguments.gossip_period);
        measurement.print_row();
        measurement.add_to(&mut table);
        max_repeated_runs = max_repeated_runs.max(measurement.repeated_runs);
    }
    println!();
    let verdict = table.print();
    println!(
        "proof duties-simulated: up to {} instances, {max_repeated_runs} doubles, {verdict}",
        sizes.last().copied().unwrap_or(0)
    );
    verdict.into()
}
