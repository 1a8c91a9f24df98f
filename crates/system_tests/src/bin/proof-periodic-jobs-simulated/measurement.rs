//! Measurement of a cluster of one size.

use crate::memory::resident_bytes;
use cluster_simulation::{Counts, Simulation, SimulationConfig};
use std::time::{Duration, Instant};
use system_tests::Table;
use system_tests::simulation::advance_until;

/// Head of the table whose rows [`Measurement::print_row`] prints.
pub(crate) const TABLE_HEAD: &str = "| instances | duties | all see all, s | claims a s | reads a s | gossip a s and instance, bytes | half dead seen by \
    all, s | rounds missed in a row | doubles | memory of an instance, kB | of it a duty, bytes | took, s |\n\
    | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

const JOBS_PER_INSTANCE: usize = 10;
const JOB_PERIOD: Duration = Duration::from_secs(5);
const TWO_JOB_PERIODS: Duration = Duration::from_secs(2 * JOB_PERIOD.as_secs());
/// Maximum difference between the clocks of two instances.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(100);
/// Maximum time until all instances see each other.
const JOIN_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum time from the kill of half of the instances until all survivors have detected it.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(600);
/// Maximum number of lease writes per run without faults.
const MAX_WRITES_PER_RUN: f64 = 1.2;

/// Times, cost and missed runs of a cluster of one size.
pub(crate) struct Measurement {
    instances: usize,
    jobs: usize,
    /// Time from the start until all instances saw each other.
    joined_after: Duration,
    fault_free: FaultFreeCost,
    /// Time from the kill of half of the instances until all survivors have detected it.
    detected_after: Duration,
    /// Maximum number of consecutive runs that a job missed because of the kills.
    missed_runs_after_kills: u64,
    /// Number of runs that started more than once.
    pub(crate) repeated_runs: u64,
    /// Real time that the measurement took.
    elapsed: Duration,
}

/// The cost of a cluster without faults.
struct FaultFreeCost {
    writes_per_second: f64,
    reads_per_second: f64,
    datagram_bytes_per_second: f64,
    /// Maximum number of consecutive runs that a job missed.
    missed_runs: u64,
    /// Growth of this process's resident memory since before the cluster, divided by the number of instances.
    kilobytes_per_instance: f64,
}

impl Measurement {
    pub(crate) fn run(instances: usize, gossip_period: Duration) -> Self {
        let started_at = Instant::now();
        let elapsed_seconds = || started_at.elapsed().as_secs_f64();
        let bytes_before = resident_bytes();
        let mut simulation = start_cluster(instances, gossip_period);

        let joined_after = advance_until_seen(&mut simulation, instances, JOIN_TIMEOUT);
        eprintln!("{instances}: joined after {} ms, {:.0} s", joined_after.as_millis(), elapsed_seconds());

        let fault_free = FaultFreeCost::measure(&mut simulation, instances, bytes_before);
        eprintln!(
            "{instances}: {:?}, {} runs missed in a row without faults, {:.0} kB per instance, {:.0} s",
            simulation.counts(),
            fault_free.missed_runs,
            fault_free.kilobytes_per_instance,
            elapsed_seconds()
        );

        let killed = instances / 2;
        (0..killed).for_each(|instance| simulation.kill(instance));
        let detected_after = advance_until_seen(&mut simulation, instances - killed, DETECTION_TIMEOUT);
        simulation.advance(TWO_JOB_PERIODS);
        Self {
            instances,
            jobs: JOBS_PER_INSTANCE * instances,
            joined_after,
            fault_free,
            detected_after,
            missed_runs_after_kills: simulation.take_longest_gap(),
            repeated_runs: simulation.counts().repeated_runs,
            elapsed: started_at.elapsed(),
        }
    }

    pub(crate) fn print_row(&self) {
        let fault_free = &self.fault_free;
        println!(
            "| {} | {} | {:.1} | {:.0} | {:.0} | {:.0} | {:.1} | {} calm, {} after | {} | {:.0} | {:.0} | {:.0} |",
            self.instances,
            self.jobs,
            self.joined_after.as_secs_f64(),
            fault_free.writes_per_second,
            fault_free.reads_per_second,
            fault_free.datagram_bytes_per_second / self.instances as f64,
            self.detected_after.as_secs_f64(),
            fault_free.missed_runs,
            self.missed_runs_after_kills,
            self.repeated_runs,
            fault_free.kilobytes_per_instance,
            fault_free.kilobytes_per_instance * 1024.0 / self.jobs as f64,
            self.elapsed.as_secs_f64()
        );
    }

    /// Adds the figures that have bounds.
    pub(crate) fn add_to(&self, table: &mut Table) {
        let instances = self.instances;
        table.add_with_maximum(&format!("{instances}: rounds run twice"), self.repeated_runs as f64, 0.0);
        let missed_runs = self.fault_free.missed_runs as f64;
        table.add_with_maximum(&format!("{instances}: rounds missed in a row, calm"), missed_runs, 1.0);
        let writes_per_run = self.fault_free.writes_per_second / self.jobs as f64 * JOB_PERIOD.as_secs_f64();
        table.add_with_maximum(&format!("{instances}: claims a round"), writes_per_run, MAX_WRITES_PER_RUN);
    }
}

impl FaultFreeCost {
    /// Lets two job periods pass and then measures the next two.
    fn measure(simulation: &mut Simulation, instances: usize, bytes_before: u64) -> Self {
        simulation.advance(TWO_JOB_PERIODS);
        simulation.take_longest_gap();
        let before = simulation.counts();
        simulation.advance(TWO_JOB_PERIODS);
        let after = simulation.counts();
        let memory_bytes = resident_bytes().saturating_sub(bytes_before);
        let rate = |count: fn(&Counts) -> u64| {
            (count(&after) - count(&before)) as f64 / TWO_JOB_PERIODS.as_secs_f64()
        };
        Self {
            writes_per_second: rate(|counts| counts.writes),
            reads_per_second: rate(|counts| counts.reads),
            datagram_bytes_per_second: rate(|counts| counts.datagram_bytes),
            missed_runs: simulation.take_longest_gap(),
            kilobytes_per_instance: memory_bytes as f64 / instances as f64 / 1024.0,
        }
    }
}

fn start_cluster(instances: usize, gossip_period: Duration) -> Simulation {
    Simulation::new(SimulationConfig {
        instances,
        jobs: JOBS_PER_INSTANCE * instances,
        job_period: JOB_PERIOD,
        standbys: 4,
        max_clock_skew: MAX_CLOCK_SKEW,
        datagram_loss_probability: 0.1,
        gossip_period,
        rng_seed: 7,
    })
}

/// Advances until this many instances see exactly as many live members, or until the timeout. Returns the simulated time that
/// this took.
fn advance_until_seen(simulation: &mut Simulation, instances: usize, timeout: Duration) -> Duration {
    advance_until(simulation, timeout, |simulation| simulation.instances_seeing(instances) >= instances)
}
