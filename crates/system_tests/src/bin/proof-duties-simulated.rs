//! The pure modules of shared duties in simulated time, from 10 to 300 instances with ten duties each: a tenth of all
//! datagrams lost, then half of the instances killed. Shows how the cost grows.

use cluster_simulation::{Simulation, SimulationConfig};
use std::process::ExitCode;
use std::time::Instant;
use system_tests::Table;

/// Milliseconds from round to round.
const PERIOD: u64 = 5_000;

/// Resident bytes of this process.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * 4_096
}

/// Lets time pass until this many see this many alive; how long that took, in milliseconds.
fn until(world: &mut Simulation, see: usize, most: u64) -> u64 {
    let begun = world.now_ms();
    while world.instances_seeing(see) < see && world.now_ms() - begun < most {
        world.advance(100);
    }
    world.now_ms() - begun
}

fn main() -> ExitCode {
    let mut bounds = Table::default();
    println!("Gossip every {} ms.\n", std::env::args().nth(2).unwrap_or("200".into()));
    println!(
        "| instances | duties | all see all, s | claims a s | reads a s | gossip a s and instance, bytes | half dead seen by \
         all, s | rounds missed in a row | doubles | memory of an instance, kB | of it a duty, bytes | took, s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    let sizes: Vec<usize> = match std::env::args().nth(1).and_then(|a| a.parse().ok()) {
        Some(size) => vec![size],
        // 1,000 takes more than ten minutes and is asked for by its number.
        None => vec![10, 30, 100, 300],
    };
    // Milliseconds between two rounds of gossip: large clusters gossip less often.
    let gossip: u64 = std::env::args().nth(2).and_then(|a| a.parse().ok()).unwrap_or(200);
    let mut worst = 0;
    for &instances in &sizes {
        let begun = Instant::now();
        let before = resident();
        let site = SimulationConfig {
            instances,
            jobs: 10 * instances,
            period_ms: PERIOD,
            standbys: 4,
            max_clock_skew_ms: 100,
            datagram_loss: 0.1,
            gossip_period_ms: gossip,
            rng_seed: 7,
        };
        let mut world = Simulation::new(site);
        let joined = until(&mut world, instances, 120_000);
        eprintln!("{instances}: joined after {joined} ms, {:.0} s", begun.elapsed().as_secs_f64());
        world.advance(2 * PERIOD);
        world.take_longest_gap();
        let calm = (world.counts(), world.now_ms());
        world.advance(2 * PERIOD);
        let (counts, span) = (world.counts(), (world.now_ms() - calm.1) as f64 / 1000.0);
        let memory = (resident().saturating_sub(before)) as f64 / instances as f64 / 1024.0;
        let calm_gap = world.take_longest_gap();
        (0..instances / 2).for_each(|i| world.kill(i));
        let alive = instances - instances / 2;
        eprintln!(
            "{instances}: {:?}, calm gap {calm_gap}, {memory:.0} kB each, {:.0} s",
            counts,
            begun.elapsed().as_secs_f64()
        );
        let noticed = until(&mut world, alive, 600_000);
        world.advance(2 * PERIOD);
        let gap = world.take_longest_gap();
        let doubles = world.counts().repeated_runs;
        let rate = |after: u64, before: u64| (after - before) as f64 / span;
        println!(
            "| {instances} | {} | {:.1} | {:.0} | {:.0} | {:.0} | {:.1} | {calm_gap} calm, {gap} after | {doubles} | {memory:.0} | {:.0} | {:.0} |",
            10 * instances,
            joined as f64 / 1000.0,
            rate(counts.writes, calm.0.writes),
            rate(counts.reads, calm.0.reads),
            rate(counts.datagram_bytes, calm.0.datagram_bytes) / instances as f64,
            noticed as f64 / 1000.0,
            memory * 1024.0 / (10 * instances) as f64,
            begun.elapsed().as_secs_f64()
        );
        worst = worst.max(doubles);
        bounds.at_most(&format!("{instances}: rounds run twice"), doubles as f64, 0.0);
        bounds.at_most(&format!("{instances}: rounds missed in a row, calm"), calm_gap as f64, 1.0);
        let claims = rate(counts.writes, calm.0.writes) / (10 * instances) as f64 * PERIOD as f64 / 1000.0;
        bounds.at_most(&format!("{instances}: claims a round"), claims, 1.2);
    }
    println!();
    let fine = bounds.print();
    println!(
        "proof duties-simulated: up to {} instances, {worst} doubles, {}",
        sizes.last().copied().unwrap_or(0),
        if fine { "all within bounds" } else { "OUT OF BOUNDS" }
    );
    if fine { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
