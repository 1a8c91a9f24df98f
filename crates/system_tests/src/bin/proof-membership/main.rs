//! Measures the membership protocol alone in simulated time, in clusters of up to 1,000 members that lose a tenth of all
//! datagrams: `proof-membership [MEMBERS [GOSSIP_PERIOD_MS]]`.
//!
//! Measures the time until all members have the same view after each of these events: the start of all members at once, a
//! partition and its end, the suspension of a member, and the death of half of the members. Also measures the bytes that members
//! send without faults, for a partition, and after the death of half of the members.

mod cluster;
mod measurement;

use measurement::Measurement;
use std::process::ExitCode;
use system_tests::Table;
use system_tests::simulation::SimulationArguments;

const SIZES: [usize; 4] = [24, 100, 300, 1_000];

fn main() -> ExitCode {
    let arguments = SimulationArguments::from_command_line();
    let gossip_period = arguments.gossip_period;
    println!("Gossip every {} ms.\n", gossip_period.as_millis());
    println!("{}", measurement::TABLE_HEAD);
    let mut table = Table::default();
    for members in arguments.sizes(&SIZES) {
        let measurement = Measurement::run(members, gossip_period);
        measurement.print_row();
        measurement.add_to(&mut table);
    }
    println!();
    let verdict = table.print();
    println!("proof membership: {verdict}");
    verdict.into()
}
