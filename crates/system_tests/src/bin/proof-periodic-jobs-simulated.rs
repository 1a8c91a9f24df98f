//! The pure modules of shared periodic jobs in simulated time, from 10 to 300 instances with ten jobs each: a tenth of all
//! datagrams lost, then half of the instances killed. Shows how the cost grows. `proof-periodic-jobs-simulated [INSTANCES
//! [GOSSIP_PERIOD_MS]]`.

use cluster_simulation::{Simulation, SimulationConfig};
use std::process::ExitCode;
use std::time::Instant;
use system_tests::Table;

/// 1,000 instances take more than ten minutes and are asked for by their number.
const SIZES: [usize; 4] = [10, 30, 100, 300];
const JOBS_PER_INSTANCE: usize = 10;
/// The period of jobs.
const PERIOD_MS: u64 = 5_000;
const DEFAULT_GOSSIP_PERIOD_MS: u64 = 200;
/// Between two looks.
const STEP_MS: u64 = 100;
/// All have joined by then.
const JOIN_TIMEOUT_MS: u64 = 120_000;
/// All know of dead instances by then.
const NOTICE_TIMEOUT_MS: u64 = 600_000;
const PAGE_BYTES: u64 = 4_096;

/// Resident bytes of this process.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Advances the simulation until `instances` instances see as many alive. Returns how long that took, ms.
fn advance_until_seen(simulation: &mut Simulation, instances: usize, timeout_ms: u64) -> u64 {
    let begin_ms = simulation.now_ms();
    while simulation.instances_seeing(instances) < instances && simulation.now_ms() - begin_ms < timeout_ms {
        simulation.advance(STEP_MS);
    }
    simulation.now_ms() - begin_ms
}

/// What a cluster costs each second without faults.
struct CalmCost {
    writes: f64,
    reads: f64,
    datagram_bytes: f64,
    /// The most runs that a job missed in a row.
    missed_runs: u64,
    /// Memory of this process for each instance.
    memory_kb: f64,
}

/// Lets two periods pass, and tells what the next two cost.
fn calm_cost(simulation: &mut Simulation, instances: usize, bytes_before: u64) -> CalmCost {
    simulation.advance(2 * PERIOD_MS);
    simulation.take_longest_gap();
    let (before, before_ms) = (simulation.counts(), simulation.now_ms());
    simulation.advance(2 * PERIOD_MS);
    let (after, took_s) = (simulation.counts(), (simulation.now_ms() - before_ms) as f64 / 1_000.0);
    let memory_kb = resident_bytes().saturating_sub(bytes_before) as f64 / instances as f64 / 1024.0;
    let missed_runs = simulation.take_longest_gap();
    let rate = |after: u64, before: u64| (after - before) as f64 / took_s;
    CalmCost {
        writes: rate(after.writes, before.writes),
        reads: rate(after.reads, before.reads),
        datagram_bytes: rate(after.datagram_bytes, before.datagram_bytes),
        missed_runs,
        memory_kb,
    }
}

/// Measures a cluster of this size, prints its row, and returns how many runs happened twice.
fn measure(instances: usize, gossip_period_ms: u64, bounds: &mut Table) -> u64 {
    let begin = Instant::now();
    let jobs = JOBS_PER_INSTANCE * instances;
    let bytes_before = resident_bytes();
    let mut simulation = Simulation::new(SimulationConfig {
        instances,
        jobs,
        period_ms: PERIOD_MS,
        standbys: 4,
        max_clock_skew_ms: 100,
        datagram_loss: 0.1,
        gossip_period_ms,
        rng_seed: 7,
    });
    let joined_ms = advance_until_seen(&mut simulation, instances, JOIN_TIMEOUT_MS);
    eprintln!("{instances}: joined after {joined_ms} ms, {:.0} s", begin.elapsed().as_secs_f64());
    let calm = calm_cost(&mut simulation, instances, bytes_before);
    let (missed_runs, memory_kb) = (calm.missed_runs, calm.memory_kb);
    (0..instances / 2).for_each(|i| simulation.kill(i));
    eprintln!(
        "{instances}: {:?}, calm gap {missed_runs}, {memory_kb:.0} kB each, {:.0} s",
        simulation.counts(),
        begin.elapsed().as_secs_f64()
    );
    let noticed_ms = advance_until_seen(&mut simulation, instances - instances / 2, NOTICE_TIMEOUT_MS);
    simulation.advance(2 * PERIOD_MS);
    let missed_after = simulation.take_longest_gap();
    let repeated = simulation.counts().repeated_runs;
    println!(
        "| {instances} | {jobs} | {:.1} | {:.0} | {:.0} | {:.0} | {:.1} | {missed_runs} calm, {missed_after} after | {repeated} | {memory_kb:.0} | {:.0} | {:.0} |",
        joined_ms as f64 / 1000.0,
        calm.writes,
        calm.reads,
        calm.datagram_bytes / instances as f64,
        noticed_ms as f64 / 1000.0,
        memory_kb * 1024.0 / jobs as f64,
        begin.elapsed().as_secs_f64()
    );
    bounds.add_with_maximum(&format!("{instances}: rounds run twice"), repeated as f64, 0.0);
    bounds.add_with_maximum(&format!("{instances}: rounds missed in a row, calm"), missed_runs as f64, 1.0);
    let writes_per_run = calm.writes / jobs as f64 * PERIOD_MS as f64 / 1000.0;
    bounds.add_with_maximum(&format!("{instances}: claims a round"), writes_per_run, 1.2);
    repeated
}

fn main() -> ExitCode {
    let argument = |position: usize| std::env::args().nth(position);
    let mut bounds = Table::default();
    println!("Gossip every {} ms.\n", argument(2).unwrap_or(DEFAULT_GOSSIP_PERIOD_MS.to_string()));
    println!(
        "| instances | duties | all see all, s | claims a s | reads a s | gossip a s and instance, bytes | half dead seen by \
         all, s | rounds missed in a row | doubles | memory of an instance, kB | of it a duty, bytes | took, s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    let sizes = argument(1).and_then(|text| text.parse().ok()).map_or(SIZES.to_vec(), |size| vec![size]);
    // Large clusters gossip less often.
    let gossip_period_ms = argument(2).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_GOSSIP_PERIOD_MS);
    let repeated = sizes.iter().map(|&size| measure(size, gossip_period_ms, &mut bounds));
    let worst = repeated.max().unwrap_or(0);
    println!();
    let verdict = bounds.print();
    println!(
        "proof duties-simulated: up to {} instances, {worst} doubles, {verdict}",
        sizes.last().copied().unwrap_or(0)
    );
    verdict.into()
}
